import { request as sendRequest } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { connect } from 'node:net';
import { Writable } from 'node:stream';
import type { ExecutionContext } from 'ava';
import { SeededRandom, SystemClock } from '@ragwortrudder/core';
import type { Clock } from '@ragwortrudder/core';
import { Gateway } from '@ragwortrudder/gateway';
import type { Dialect, GatewaySettings } from '@ragwortrudder/gateway';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import type { KeyedLog } from '@ragwortrudder/log';
import { PlatformCatalogCodec, PlatformDialect } from '@ragwortrudder/platform-adapter';
import { processHost } from '@ragwortrudder/standins';
import type { ScriptedRunner } from './scripted-runner.ts';

interface GatewayHarnessOptions {
  readonly runners?: readonly ScriptedRunner[];
  readonly route?: object;
  readonly team?: object;
  readonly graceMs?: number;
  /** Starts without a configuration in the log. */
  readonly isEmpty?: boolean;
  /** @default 'n1' */
  readonly node?: string;
  /** @default 0 */
  readonly peerPort?: number;
  /** Log that is shared with other gateways; it is configured by the test. */
  readonly log?: KeyedLog;
  /** @default the one of the platform */
  readonly dialect?: Dialect;
  /**
   * Deadline that the test's callers state, in milliseconds.
   * @default 5000
   */
  readonly deadlineMs?: number;
  /**
   * Time within which the head of a request must arrive, in milliseconds.
   * @default 2000
   */
  readonly headerTimeoutMs?: number;
  readonly failureDomain?: string;
  readonly regions?: Pick<GatewaySettings, 'region' | 'domainRegions'>;
  readonly coldRunners?: GatewaySettings['coldRunners'];
  /** @default 0 */
  readonly quotaWindowMs?: number;
  /** @default the clock of the system */
  readonly clock?: Clock;
}

interface Call {
  readonly method?: string;
  readonly path?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

interface Reply {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  /** The response arrived completely, according to its framing. */
  readonly isComplete: boolean;
}

interface ConnectionEnd {
  readonly received: string;
  /** Error code of the connection, if it did not end with an orderly close. */
  readonly error: string | undefined;
}

const DEADLINE_MS = 5_000;
const HEADER_TIMEOUT_MS = 2_000;
const OPERATOR_TOPIC = 'op';
const RUNNER_TOPIC = 'servers';
const NO_BODY_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'DELETE']);

/** Test harness: a gateway with an in-memory log between the test's callers and scripted runners. */
export class GatewayHarness {
  /** The log of this gateway alone, unless it has a shared one. */
  readonly ownLog = new MemoryKeyedLog();
  readonly log: KeyedLog;
  readonly lines: string[] = [];
  /** Settings with which the gateway starts. */
  readonly settings: GatewaySettings;
  readonly gateway: Gateway;
  #version = 1;
  #requestCount = 0;

  private constructor(readonly options: GatewayHarnessOptions) {
    this.log = options.log ?? this.ownLog;
    const out = new Writable({
      write: (chunk: Buffer, _encoding, done) => {
        this.lines.push(chunk.toString());
        done();
      },
    });
    this.settings = {
      node: {
        id: options.node ?? 'n1',
        host: processHost(),
        failureDomain: options.failureDomain ?? 'a',
      },
      ...options.regions,
      listen: {
        callers: { host: '127.0.0.1', port: 0 },
        readiness: { host: '127.0.0.1', port: 0 },
        metrics: { host: '127.0.0.1', port: 0 },
        peerPort: options.peerPort ?? 0,
      },
      graceMs: options.graceMs ?? 8_000,
      retries: { ratio: 0.2, slack: 600, windowMs: 10_000 },
      quotas: { overage: 0, slack: 0, windowMs: options.quotaWindowMs },
      coldRunners: options.coldRunners,
      duties: {
        reportsUsage: false,
        ordersRunners: false,
        leaseMs: 3_000,
        usageWindowMs: 5_000,
        usageLateMs: 10_000,
      },
    };
    this.gateway = new Gateway({
      settings: this.settings,
      log: this.log,
      codec: new PlatformCatalogCodec(),
      dialect: options.dialect ?? new PlatformDialect(),
      cloud: undefined,
      clock: options.clock ?? new SystemClock(),
      random: new SeededRandom(7),
      out,
    });
  }

  /** Starts a gateway, waits until it is ready, and closes it after the test. */
  static async start(
    t: ExecutionContext,
    options: GatewayHarnessOptions = {},
  ): Promise<GatewayHarness> {
    const harness = new GatewayHarness(options);
    await harness.#launch();
    t.teardown(() => harness.close());
    await harness.#waitUntilReady();
    return harness;
  }

  /** Starts a gateway and waits until it is ready; the test closes it. */
  static async open(options: GatewayHarnessOptions = {}): Promise<GatewayHarness> {
    const harness = new GatewayHarness(options);
    await harness.#launch();
    await harness.#waitUntilReady();
    return harness;
  }

  /** Closes the gateway and its runners. */
  async close(): Promise<void> {
    await this.gateway.close();
    for (const runner of this.options.runners ?? []) await runner.close();
  }

  /** Writes to a shared log on behalf of the operator and the runners; its gateway is not started. */
  static writerFor(log: KeyedLog, route: object = {}): GatewayHarness {
    return new GatewayHarness({ log, route });
  }

  /** Appends a configuration, and runners by their ports, to a log that several gateways share. */
  static async configure(
    options: GatewayHarnessOptions,
    ports: readonly number[] = [],
  ): Promise<void> {
    const harness = new GatewayHarness(options);
    await harness.configure({});
    for (const [index, port] of ports.entries()) await harness.registerRunner(`r${index}`, port);
  }

  /** Appends the next version of the configuration to the log. */
  async configure(change: object): Promise<void> {
    const record = {
      version: this.#version,
      routes: [
        {
          name: 'route',
          host: 'a.example',
          path_prefix: '/p/',
          kind: 'idempotent',
          timeout_ms: 2_000,
          target_latency_ms: 300,
          service: 's',
          max_attempts: 2,
          ...this.options.route,
        },
      ],
      services: [{ name: 's', health_path: '/health', max_connections: 100 }],
      tenants: [{ name: 'team', api_keys: ['key'], ...this.options.team }],
      limits: {
        max_header_bytes: 8_192,
        max_body_bytes: 100_000,
        header_timeout_ms: this.options.headerTimeoutMs ?? HEADER_TIMEOUT_MS,
        idle_timeout_ms: 5_000,
      },
      ...change,
    };
    this.#version += 1;
    await this.log.append({
      topic: OPERATOR_TOPIC,
      key: 'config',
      value: Buffer.from(JSON.stringify(record)),
    });
  }

  /** Lets the next configuration have the version of the newest one. */
  repeatVersion(): void {
    this.#version -= 1;
  }

  async registerRunner(id: string, port: number, change: object = {}): Promise<void> {
    const entry = {
      service: 's',
      address: `127.0.0.1:${port}`,
      zone: 'a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      born: 1,
      ...change,
    };
    await this.log.append({
      topic: RUNNER_TOPIC,
      key: id,
      value: Buffer.from(JSON.stringify(entry)),
    });
  }

  /** Sends a request; settles once the response has ended or was aborted. */
  call({
    method = 'POST',
    path = '/p/x',
    headers = {},
    body = 'hello',
  }: Call = {}): Promise<Reply> {
    this.#requestCount += 1;
    const hasBody = !NO_BODY_METHODS.has(method);
    return new Promise((resolve, reject) => {
      const client = sendRequest({
        host: '127.0.0.1',
        port: this.gateway.ports.callers,
        method,
        path,
        agent: false,
        headers: {
          Host: 'a.example',
          'Request-Id': `q${this.#requestCount}`,
          'X-Api-Key': 'key',
          'Deadline-Ms': String(this.options.deadlineMs ?? DEADLINE_MS),
          ...(hasBody ? { 'Content-Length': String(Buffer.byteLength(body)) } : {}),
          ...headers,
        },
      });
      client.on('error', reject);
      client.on('response', (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', () => undefined);
        response.on('close', () => {
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(chunks).toString(),
            isComplete: response.complete,
          });
        });
      });
      client.end(hasBody ? body : undefined);
    });
  }

  /**
   * Sends raw bytes and returns what is received until the connection closes or stays quiet for
   * `quietMs`.
   */
  sendRaw(text: string, quietMs = 300): Promise<string> {
    return new Promise((resolve) => {
      const socket = connect(this.gateway.ports.callers, '127.0.0.1');
      let received = '';
      const finish = (): void => {
        socket.destroy();
        resolve(received);
      };
      let timer = setTimeout(finish, quietMs);
      socket.on('data', (bytes) => {
        received += bytes.toString();
        clearTimeout(timer);
        timer = setTimeout(finish, quietMs);
      });
      socket.on('error', finish);
      socket.on('close', finish);
      socket.write(text);
    });
  }

  /** Sends raw bytes and returns what is received until the connection ends, and how it ends. */
  sendUntilEnd(text: string): Promise<ConnectionEnd> {
    return new Promise((resolve) => {
      const socket = connect(this.gateway.ports.callers, '127.0.0.1');
      let received = '';
      let error: string | undefined;
      socket.on('data', (bytes) => {
        received += bytes.toString();
      });
      socket.on('error', ({ code }: NodeJS.ErrnoException) => {
        error = code;
      });
      socket.on('close', () => {
        resolve({ received, error });
      });
      socket.write(text);
    });
  }

  /** Result of the readiness check. */
  async isReady(): Promise<boolean> {
    const response = await fetch(`http://127.0.0.1:${this.gateway.ports.readiness}/ready`);
    return response.ok;
  }

  /** Settles once `condition` holds. */
  async waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
    while (!(await condition())) await new Promise((resolve) => setTimeout(resolve, 10));
  }

  async #launch(): Promise<void> {
    const { isEmpty, log, runners = [] } = this.options;
    if (!isEmpty && !log) await this.configure({});
    for (const [index, runner] of runners.entries()) {
      await this.registerRunner(`r${index}`, runner.port);
    }
    await this.gateway.start();
  }

  async #waitUntilReady(): Promise<void> {
    if (!this.options.isEmpty) await this.waitUntil(() => this.isReady());
  }
}
