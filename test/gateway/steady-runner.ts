import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { chunk, event, responseTo, streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';
import type { ReceivedRequest } from './scripted-runner.ts';

interface SteadyRunnerOptions {
  /** Number of events of a response, or of that to a request; 0 for a response with a length. */
  readonly events: number | ((request: ReceivedRequest) => number);
  /** @default 30 */
  readonly latencyMs?: number;
  /** @default 20 */
  readonly eventIntervalMs?: number;
}

const LATENCY_MS = 30;
const EVENT_INTERVAL_MS = 20;

/** Runner that serves every request, and resumes streams after the last event that the request names. */
export class SteadyRunner {
  /** Number of runs of each request, by its id. */
  readonly runs = new Map<string, number>();
  readonly #runner: ScriptedRunner;
  readonly #options: SteadyRunnerOptions;
  #silence: Promise<void> = Promise.resolve();

  constructor(options: SteadyRunnerOptions) {
    this.#options = options;
    this.#runner = new ScriptedRunner((socket, request) => {
      this.runs.set(request.id, (this.runs.get(request.id) ?? 0) + 1);
      void this.#serve(socket, request);
    });
  }

  get port(): number {
    return this.#runner.port;
  }

  /** Heads of the requests in the order in which they arrived. */
  get heads(): readonly string[] {
    return this.#runner.received.map(({ head }) => head);
  }

  /** Ids of the last requests on connections that have closed. */
  get closed(): readonly string[] {
    return this.#runner.closed;
  }

  async listen(): Promise<this> {
    await this.#runner.listen();
    return this;
  }

  close(): Promise<void> {
    return this.#runner.close();
  }

  /** Reads and writes nothing on any connection for a time, and then goes on. */
  async fallSilent(ms: number): Promise<void> {
    this.#silence = sleep(ms);
    await this.#silence;
  }

  async #serve(socket: Socket, request: ReceivedRequest): Promise<void> {
    const { latencyMs = LATENCY_MS, eventIntervalMs = EVENT_INTERVAL_MS } = this.#options;
    const events =
      typeof this.#options.events === 'number'
        ? this.#options.events
        : this.#options.events(request);
    await this.#work(latencyMs);
    if (events === 0) {
      socket.write(responseTo(request, `ran ${request.id}`));
      return;
    }
    const after = Number(/last-event-id: (\d+)/i.exec(request.head)?.[1] ?? 0);
    socket.write(streamHeadFor(request));
    for (let id = after + 1; id <= events; id += 1) {
      if (socket.destroyed) return;
      socket.write(chunk(event(id)));
      await this.#work(eventIntervalMs);
    }
    socket.write(chunk(''));
  }

  async #work(ms: number): Promise<void> {
    await sleep(ms);
    await this.#silence;
  }
}
