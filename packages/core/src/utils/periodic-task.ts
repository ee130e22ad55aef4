import type { Closeable } from '../types/closeable.ts';
import { pauseBeforeRun } from './pause-before-run.ts';

interface PeriodicTaskOptions {
  /** Mean time between the starts of two runs that take little time, in milliseconds. */
  readonly periodMs: number;
  readonly run: () => Promise<void> | void;
  /** Called when a run fails; the next run follows as scheduled. */
  readonly onFailure: (error: unknown) => void;
}

/**
 * Runs a task periodically, without overlapping runs. Runs begin at multiples of the period, so that
 * tasks whose periods divide each other wake the process once for all of them. After a stall of the
 * process, input that arrived meanwhile is read before the next run, so that a run does not mistake the
 * stall for silence of others.
 */
export class PeriodicTask implements Closeable {
  readonly #options: PeriodicTaskOptions;
  #running: Promise<void> = Promise.resolve();
  #timer: NodeJS.Timeout | undefined;
  #turn: NodeJS.Immediate | undefined;
  #isStarted = false;
  #isClosed = false;

  constructor(options: PeriodicTaskOptions) {
    this.#options = options;
  }

  /** Starts the task; does nothing if it was already started. */
  start(): void {
    if (this.#isStarted) return;
    this.#isStarted = true;
    this.#begin();
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    clearTimeout(this.#timer);
    clearImmediate(this.#turn);
    await this.#running;
  }

  #begin(): void {
    if (this.#isClosed) return;
    this.#running = this.#runOnce();
  }

  async #runOnce(): Promise<void> {
    try {
      await this.#options.run();
    } catch (error) {
      this.#options.onFailure(error);
    }
    if (this.#isClosed) return;
    const { periodMs } = this.#options;
    this.#timer = setTimeout(
      () => {
        this.#turn = setImmediate(() => {
          this.#begin();
        });
      },
      pauseBeforeRun({ now: performance.now(), periodMs }),
    );
  }
}
