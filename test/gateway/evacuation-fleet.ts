import type { ExecutionContext } from 'ava';
import { LogUnavailable } from '@ragwortrudder/log';
import type { KeyedLog } from '@ragwortrudder/log';
import { PlatformHttpClient, PlatformLog } from '@ragwortrudder/platform-adapter';
import { KeyedStore } from '@ragwortrudder/standins';
import { freePort } from './free-port.ts';
import { GatewayHarness } from './gateway-harness.ts';
import { ScriptedRunner } from './scripted-runner.ts';

type Script = ConstructorParameters<typeof ScriptedRunner>[0];

interface EvacuationFleetOptions {
  /** What the runners of each failure domain do; the domain is named by its key. */
  readonly runners: Readonly<Record<string, readonly Script[]>>;
  readonly route?: object;
  /** @default 3 */
  readonly nodes?: number;
}

const OPERATOR_TOPIC = 'keyed.op';
const ROUTE = {
  host: 'a.example',
  path_prefix: '/p/',
  kind: 'idempotent',
  timeout_ms: 8_000,
  target_latency_ms: 4_000,
  service: 's',
  max_attempts: 3,
};

/** Gateways of one failure domain with a stand-in of the platform's store, and runners in several domains. */
export class EvacuationFleet {
  readonly store = new KeyedStore();
  readonly gateways: GatewayHarness[] = [];
  readonly #t: ExecutionContext;
  readonly #runners = new Map<string, readonly ScriptedRunner[]>();
  readonly #logs: PlatformLog[] = [];
  readonly #cutOff = new Set<string>();
  #calls = 0;

  private constructor(t: ExecutionContext) {
    this.#t = t;
  }

  static async start(
    t: ExecutionContext,
    { runners, route = {}, nodes = 3 }: EvacuationFleetOptions,
  ): Promise<EvacuationFleet> {
    const fleet = new EvacuationFleet(t);
    await fleet.store.listen();
    const writer = GatewayHarness.writerFor(fleet.#writerLog(), { ...ROUTE, ...route });
    await writer.configure({});
    for (const [domain, scripts] of Object.entries(runners)) {
      const started = await Promise.all(
        scripts.map((script) => new ScriptedRunner(script).listen()),
      );
      fleet.#runners.set(domain, started);
      for (const [index, { port }] of started.entries()) {
        await writer.registerRunner(`${domain}${index}`, port, { zone: domain, sequence: 1 });
      }
    }
    for (let index = 1; index <= nodes; index += 1) await fleet.startGateway(`n${index}`);
    t.teardown(async () => {
      for (const log of fleet.#logs) await log.close();
      for (const runner of [...fleet.#runners.values()].flat()) await runner.close();
      await fleet.store.close();
    });
    return fleet;
  }

  async startGateway(node: string): Promise<GatewayHarness> {
    const log = this.#openLog(node);
    const gateway = await GatewayHarness.start(this.#t, { log, node, peerPort: await freePort() });
    this.gateways.push(gateway);
    return gateway;
  }

  /** The store is out of reach for a node from now on. */
  cutOff(node: string): void {
    this.#cutOff.add(node);
  }

  /** Orders the evacuation of a failure domain; the store has acknowledged it on return. */
  evacuate(domain: string, value = '{}'): void {
    this.store.put(OPERATOR_TOPIC, `evacuate/${domain}`, value);
  }

  withdraw(domain: string): void {
    this.store.put(OPERATOR_TOPIC, `evacuate/${domain}`, undefined);
  }

  /** Number of requests that the runners of a domain have received. */
  receivedIn(domain: string): number {
    return (this.#runners.get(domain) ?? []).reduce(
      (sum, { received }) => sum + received.length,
      0,
    );
  }

  /** Lines that a gateway has logged with this event. */
  static linesOf(
    { lines }: GatewayHarness,
    event: string,
  ): readonly Readonly<Record<string, unknown>>[] {
    return lines
      .map((line) => JSON.parse(line) as Readonly<Record<string, unknown>>)
      .filter((line) => line.event === event);
  }

  /** Waits until all gateways, or those that are given, have logged an event this often. */
  async waitForEvent(event: string, times = 1, gateways = this.gateways): Promise<void> {
    for (const gateway of gateways) {
      await gateway.waitUntil(() => EvacuationFleet.linesOf(gateway, event).length >= times);
    }
  }

  /** Sends requests through the gateways in turn, one after the other; returns their statuses. */
  async callInTurn(count: number): Promise<readonly number[]> {
    const statuses: number[] = [];
    for (let index = 0; index < count; index += 1) {
      const gateway = this.gateways[index % this.gateways.length];
      const id = `${gateway?.options.node ?? ''}-${performance.now()}-${(this.#calls += 1)}`;
      const reply = await gateway?.call({ headers: { 'Request-Id': id } });
      statuses.push(reply?.status ?? 0);
    }
    return statuses;
  }

  /** Sends so many requests at once that every usable runner gets some; returns their statuses. */
  async callAtOnce(count: number): Promise<readonly number[]> {
    const statuses = await Promise.all(
      Array.from({ length: count / this.gateways.length }, () =>
        this.callInTurn(this.gateways.length),
      ),
    );
    return statuses.flat();
  }

  /** Log of a node, which loses the store when the node is cut off. */
  #openLog(node: string): KeyedLog {
    const log = new PlatformLog(new PlatformHttpClient(this.store.address));
    this.#logs.push(log);
    const check = (): void => {
      if (this.#cutOff.has(node)) throw new LogUnavailable('the node is cut off');
    };
    const guard = async <T>(call: () => Promise<T>): Promise<T> => {
      check();
      const result = await call();
      check();
      return result;
    };
    return {
      get era() {
        return log.era;
      },
      newest: (topic) => guard(() => log.newest(topic)),
      read: (range) => guard(() => log.read(range)),
      append: (record) => guard(() => log.append(record)),
    };
  }

  /** Log through which the operator and the runners write, also while calls of the nodes fail. */
  #writerLog(): KeyedLog {
    const unused = (): never => {
      throw new LogUnavailable('the writer does not read');
    };
    return {
      era: 0,
      newest: unused,
      read: unused,
      append: ({ topic, key, value }) => {
        this.store.put(`keyed.${topic}`, key, value && Buffer.from(value).toString());
        return Promise.resolve(0);
      },
    };
  }
}
