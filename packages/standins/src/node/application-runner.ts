import type { ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { SeededRandom, SystemClock, digest } from '@ragwortrudder/core';
import type { Clock, Closeable, Random } from '@ragwortrudder/core';
import * as z from 'zod';
import { ApplicationFault } from '../types/application-fault.ts';
import type { ApplicationOptions } from '../types/application-options.ts';
import type { HttpCall } from '../types/http-call.ts';
import type { HttpReply } from '../types/http-reply.ts';
import type { OperationRun } from '../types/operation-run.ts';
import { conditionHolds } from '../utils/condition-holds.ts';
import { LaggingValue } from '../utils/lagging-value.ts';
import { HttpServer } from './http-server.ts';
import { omitFraming } from './omit-framing.ts';
import { parseBody } from './parse-body.ts';
import { runnerAddress } from './runner-address.ts';

interface Operation {
  readonly key: string;
  readonly operation: string;
  readonly payload?: unknown;
}
interface Load {
  readonly at: number;
  readonly running: number;
  readonly waiting: number;
}

const DEFAULT_DELAY_MS = 1000;
const operationSchema = z.object({
  key: z.string().min(1),
  operation: z.string().min(1),
  payload: z.unknown().optional(),
});

/** Sends the first half of a reply without a length or chunks, and closes the connection. */
function sendPart(response: ServerResponse, { status, body, headers }: HttpReply): void {
  const text = JSON.stringify(body);
  omitFraming(response);
  response.writeHead(status, { 'content-type': 'application/json', ...headers });
  response.end(text.slice(0, text.length / 2));
}

/** Stand-in for an application runner: records each run of an operation, served over HTTP, with fault injection. */
export class ApplicationRunner implements Closeable {
  readonly id: string;
  readonly #options: ApplicationOptions;
  readonly #server: HttpServer;
  readonly #clock: Clock = new SystemClock();
  readonly #random: Random;
  readonly #load: LaggingValue<Load>;
  readonly #runs: OperationRun[] = [];
  readonly #times = new Map<string, number>();
  readonly #queue: (() => void)[] = [];
  #fault: ApplicationFault = {};
  #leaving = false;
  #running = 0;
  #requests = 0;

  constructor(options: ApplicationOptions) {
    this.id = options.id;
    this.#options = options;
    this.#server = new HttpServer(options.id);
    this.#random = new SeededRandom(options.seed ?? 1);
    this.#load = new LaggingValue(this.#currentLoad(), options.loadLagMs ?? 200, this.#clock);
    this.#addRoutes();
  }

  get address(): string {
    return this.#server.address;
  }

  async listen(): Promise<void> {
    const { host, port } = await runnerAddress(this.#options);
    await this.#server.listen(host, port);
  }

  async drain(graceMs: number): Promise<void> {
    await this.#server.drain(graceMs);
  }

  async close(): Promise<void> {
    await this.#server.close();
  }

  /** Number of operations received, whether run or not. */
  get requests(): number {
    return this.#requests;
  }

  /** Every run of an operation, in order. */
  runs(): readonly OperationRun[] {
    return this.#runs;
  }

  /** Replaces the fault; `leaving` and `refuse` keep their values if they are omitted. */
  async setFault(body: unknown): Promise<void> {
    const fault = parseBody(ApplicationFault, body);
    const { leaving, refuse, ...rest } = fault;
    this.#leaving = leaving ?? this.#leaving;
    if (refuse !== undefined) await this.#server.refuseConnections(refuse);
    if (Object.keys(rest).length > 0) this.#fault = rest;
  }

  #addRoutes(): void {
    const server = this.#server;
    const applyFault = (call: HttpCall): HttpReply => {
      const fault = parseBody(ApplicationFault, call.body);
      setImmediate(() => void this.setFault(fault));
      return { status: 200, body: {} };
    };
    server.post('/operations', (call) => this.#runOperation(call));
    server.get('/load', () => this.#reply({ ...this.#load.get(), leaving: this.#leaving }));
    server.get('/health', () => this.#reply({ ok: true }));
    server.post('/faults', applyFault);
    server.post('/control/faults', applyFault);
    server.get('/control/runs', () => this.#reply({ runner: this.id, runs: this.#runs }));
  }

  #reply(body: unknown, status = 200): HttpReply {
    const headers: Readonly<Record<string, string>> = this.#leaving
      ? { 'x-runner-leaving': 'true' }
      : {};
    return { status, body, headers };
  }

  async #runOperation(call: HttpCall): Promise<HttpReply | undefined> {
    const operation = parseBody(operationSchema, call.body);
    this.#requests += 1;
    const { mode, delayMs = DEFAULT_DELAY_MS } = this.#takeFault(operation);
    if (mode === 'not-run') return this.#reply({ notRun: true }, 503);
    if (mode === 'fail') return this.#reply({ code: 'application-error' }, 500);
    if (mode === 'refuse') return this.#reply({ code: 'refused-by-application' }, 422);
    if (mode === 'hang') return undefined;
    await this.#acquireSlot();
    try {
      await this.#sleep((this.#options.workMs ?? 5) + (mode === 'slow' ? delayMs : 0));
    } finally {
      this.#releaseSlot();
    }
    const run = this.#record(operation);
    if (mode === 'fail-after') return this.#reply({ code: 'application-error' }, 500);
    if (mode === 'hang-after') return undefined;
    if (mode === 'reply-late') await this.#sleep(delayMs);
    if (mode === 'reply-lost') {
      call.request.socket.destroy();
      return undefined;
    }
    const reply = this.#reply({ result: this.#result(run) });
    if (mode !== 'reply-cut') return reply;
    sendPart(call.response, reply);
    return undefined;
  }

  #takeFault(operation: Operation): ApplicationFault {
    const fault = this.#fault;
    const running = this.#running + this.#queue.length;
    const text = JSON.stringify(operation);
    const applies =
      (fault.count ?? 1) > 0 &&
      conditionHolds(fault.condition, { running, requests: this.#requests, text }) &&
      this.#random.next() < (fault.rate ?? 1);
    if (!applies) return {};
    if (fault.count !== undefined) this.#fault = { ...fault, count: fault.count - 1 };
    return fault;
  }

  #record({ key, operation, payload }: Operation): OperationRun {
    const times = (this.#times.get(key) ?? 0) + 1;
    this.#times.set(key, times);
    const number = this.#runs.length + 1;
    const time = this.#clock.wall();
    const run = { runner: this.id, key, operation, payload, number, times, time };
    this.#runs.push(run);
    return run;
  }

  #result({ key, operation, payload, runner, number }: OperationRun): unknown {
    return { key, operation, payloadDigest: digest(payload ?? null), runner, number };
  }

  async #sleep(ms: number): Promise<void> {
    await delay(ms, undefined, { ref: false });
  }

  async #acquireSlot(): Promise<void> {
    if (this.#running >= (this.#options.maxRunning ?? 16)) {
      await new Promise<void>((resolve) => {
        this.#queue.push(resolve);
        this.#load.set(this.#currentLoad());
      });
    }
    this.#running += 1;
    this.#load.set(this.#currentLoad());
  }

  #releaseSlot(): void {
    this.#running -= 1;
    this.#queue.shift()?.();
    this.#load.set(this.#currentLoad());
  }

  #currentLoad(): Load {
    return { at: this.#clock.wall(), running: this.#running, waiting: this.#queue.length };
  }
}
