import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { parseAddress } from '../../packages/standins/src/utils/parse-address.ts';
import { receiveBody } from '../../packages/standins/src/utils/receive-body.ts';
import type { Recorder } from '../lib/recorder.ts';

interface BrittleRunnerOptions {
  readonly id: string;
  readonly address: string;
  readonly recorder: Recorder;
  /** Called when the runner has fallen over or is back, with the start of its boot. */
  readonly onBoot: (born: number | undefined) => void;
}

const SLOTS = 4;
/** Requests that may wait beside those that run, in good times and while the runner is brittle. */
const QUEUE = 8;
const BRITTLE_QUEUE = 3;
const WORK_MS = 100;
/** Time after the first statement from which a brittle runner may fall over. */
const CONTACT_MS = 3_000;
const DOWN_MS = 3_000;
const WINDOW_MS = 1_000;

/** Runner that falls over while it is brittle if it has to turn away too many requests in a second. */
export class BrittleRunner {
  readonly #options: BrittleRunnerOptions;
  #server: Server | undefined;
  #running = 0;
  #waiting: (() => void)[] = [];
  #brittle: { readonly most: number; readonly since: number } | undefined;
  #turnedAway: readonly number[] = [];
  #falls = 0;
  /** Requests that were at work when the runner fell over. */
  readonly #atWork = new Set<string>();
  readonly lost: string[] = [];
  readonly runs = new Map<string, number>();

  constructor(options: BrittleRunnerOptions) {
    this.#options = options;
  }

  get falls(): number {
    return this.#falls;
  }

  /** Says in all answers from now on that more than `most` rejections a second are too many. */
  setBrittle(most: number | undefined): void {
    this.#brittle = most === undefined ? undefined : { most, since: performance.now() };
  }

  async start(): Promise<void> {
    const { host, port } = parseAddress(this.#options.address);
    const server = createServer((request, response) => {
      void this.#serve(request, response);
    });
    server.keepAliveTimeout = 10_000;
    this.#server = server;
    await new Promise<void>((resolve) => server.listen(port, host, resolve));
    this.#options.onBoot(Date.now());
  }

  async close(): Promise<void> {
    const server = this.#server;
    this.#server = undefined;
    if (!server) return;
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const server = this.#server;
    response.on('error', () => undefined);
    await receiveBody(request);
    const { recorder, id: runner } = this.#options;
    const id = String(request.headers['request-id'] ?? '');
    response.setHeader('Request-Id', id);
    if (this.#brittle) response.setHeader('Server-Brittle', String(this.#brittle.most));
    response.setHeader('Server-Load', `${this.#running},${this.#waiting.length},${SLOTS}`);
    if (request.headers['target-instance'] !== runner) {
      response.writeHead(421, { 'Not-Executed': '1' }).end();
      return;
    }
    if (this.#running >= SLOTS && this.#waiting.length >= this.#queue) {
      recorder.add('turned-away', id, 'by', runner);
      response.writeHead(503, { 'Not-Executed': '1' }).end();
      this.#countTurnedAway();
      return;
    }
    if (this.#running >= SLOTS) {
      await new Promise<void>((resolve) => {
        this.#waiting.push(resolve);
      });
    } else this.#running += 1;
    if (this.#server !== server) return;
    if (response.destroyed) {
      this.#release();
      return;
    }
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    recorder.add('run', id, 'at', runner);
    this.#atWork.add(id);
    await sleep(WORK_MS);
    if (this.#server !== server) return;
    this.#atWork.delete(id);
    this.#release();
    response.writeHead(200, { 'Response-Signature': `${runner}.${id}` }).end(`done ${id}`);
  }

  get #isFragile(): boolean {
    return this.#brittle !== undefined && performance.now() - this.#brittle.since >= CONTACT_MS;
  }

  get #queue(): number {
    return this.#isFragile ? BRITTLE_QUEUE : QUEUE;
  }

  #release(): void {
    const next = this.#waiting.shift();
    if (next) next();
    else this.#running -= 1;
  }

  #countTurnedAway(): void {
    const now = performance.now();
    this.#turnedAway = [...this.#turnedAway.filter((at) => now - at < WINDOW_MS), now];
    if (!this.#brittle || !this.#isFragile) return;
    if (this.#turnedAway.length <= this.#brittle.most) return;
    void this.#fallOver();
  }

  async #fallOver(): Promise<void> {
    const { recorder, id, onBoot } = this.#options;
    this.#falls += 1;
    recorder.add('falls-over', id, 'with', this.#atWork.size, 'requests at work');
    this.lost.push(...this.#atWork);
    this.#atWork.clear();
    this.#turnedAway = [];
    const waiting = this.#waiting;
    this.#waiting = [];
    this.#running = 0;
    const closed = this.close();
    for (const wake of waiting) wake();
    onBoot(undefined);
    await closed;
    await sleep(DOWN_MS);
    await this.start();
    recorder.add('back', id);
  }
}
