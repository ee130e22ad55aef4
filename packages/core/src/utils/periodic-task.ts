import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises';
import type { Closeable } from '../types/closeable.ts';

interface PeriodicTaskOptions {
  /** Pause between the end of one run and the start of the next, in milliseconds. */
  readonly periodMs: number;
  readonly run: () => Promise<void> | void;
  /** Called when a run fails; the next run follows as scheduled. */
  readonly onFailure: (error: unknown) => void;
}

/**
 * Runs a task periodically, without overlapping runs. After a stall of the process, input that arrived
 * meanwhile is read before the next run, so that a run does not mistake the stall for silence of others.
 */
export class PeriodicTask implements Closeable {
  readonly #options: PeriodicTaskOptions;
  readonly #closing = new AbortController();
  #running: Promise<void> | undefined;

  constructor(options: PeriodicTaskOptions) {
    this.#options = options;
  }

  /** Starts the task; does nothing if it was already started. */
  start(): void {
    this.#running ??= this.#loop();
  }

  async close(): Promise<void> {
    this.#closing.abort();
    await this.#running;
  }

  async #loop(): Promise<void> {
    const { signal } = this.#closing;
    while (!signal.aborted) {
      try {
        await this.#options.run();
      } catch (error) {
        this.#options.onFailure(error);
      }
      await sleep(this.#options.periodMs, undefined, { signal }).catch(() => undefined);
      await nextTurn();
    }
  }
}
