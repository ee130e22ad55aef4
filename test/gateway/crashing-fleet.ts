import type { MemoryKeyedLog } from '@ragwortrudder/log';
import { chunk, event, streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';
import type { ReceivedRequest } from './scripted-runner.ts';

interface CrashingFleetOptions {
  readonly log: MemoryKeyedLog;
  readonly runners: number;
  /** Whether a request ends the runner that begins to run it. */
  readonly crashes: (request: ReceivedRequest) => boolean;
  /** A request that ends its runner gets the head of a response before. @default true */
  readonly respondsFirst?: boolean;
}

interface Arrival {
  readonly at: number;
  readonly request: ReceivedRequest;
}

const EVENTS = 3;
const EVENT_INTERVAL_MS = 10;
const CRASH_DELAY_MS = 30;
const RESTART_DELAY_MS = 250;

/** Runners that end on some requests, and return at another address under another id. */
export class CrashingFleet {
  readonly arrivals: Arrival[] = [];
  /** Times at which a runner ended. */
  readonly crashes: number[] = [];
  readonly #options: CrashingFleetOptions;
  readonly #running = new Map<string, ScriptedRunner>();
  #started = 0;
  #isClosed = false;
  #isCured = false;

  constructor(options: CrashingFleetOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    for (let index = 0; index < this.#options.runners; index += 1) await this.#startRunner();
  }

  /** From now on no request ends a runner. */
  cure(): void {
    this.#isCured = true;
  }

  /** Ends runners at the same moment, whatever they are doing. */
  crashTogether(count: number): void {
    for (const id of [...this.#running.keys()].slice(0, count)) this.#crash(id);
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    await Promise.all([...this.#running.values()].map((runner) => runner.close()));
  }

  async #startRunner(): Promise<void> {
    const id = `i-${this.#started}`;
    this.#started += 1;
    const runner = await new ScriptedRunner((socket, request) => {
      const { crashes, respondsFirst = true } = this.#options;
      this.arrivals.push({ at: performance.now(), request });
      const isCrashing = crashes(request) && !this.#isCured;
      if (respondsFirst || !isCrashing) socket.write(streamHeadFor(request));
      if (isCrashing) {
        setTimeout(() => {
          this.#crash(id);
        }, CRASH_DELAY_MS);
        return;
      }
      let sent = 0;
      const timer = setInterval(() => {
        sent += 1;
        if (socket.destroyed) clearInterval(timer);
        else socket.write(chunk(event(sent)));
        if (sent < EVENTS) return;
        clearInterval(timer);
        socket.write('0\r\n\r\n');
      }, EVENT_INTERVAL_MS);
    }).listen();
    this.#running.set(id, runner);
    const entry = {
      service: 's',
      address: `127.0.0.1:${runner.port}`,
      zone: 'a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      born: 1,
    };
    await this.#options.log.append({
      topic: 'servers',
      key: id,
      value: Buffer.from(JSON.stringify(entry)),
    });
  }

  #crash(id: string): void {
    const runner = this.#running.get(id);
    if (!runner) return;
    this.#running.delete(id);
    this.crashes.push(performance.now());
    void runner.close();
    void this.#options.log.append({ topic: 'servers', key: id });
    setTimeout(() => {
      if (!this.#isClosed) void this.#startRunner();
    }, RESTART_DELAY_MS);
  }
}
