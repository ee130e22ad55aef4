import type { Reader } from '../types/reader.ts';

interface ReadTurnsOptions {
  /** Calls `run` after `delayMs`. */
  readonly schedule: (run: () => void, delayMs: number) => void;
}

/** Rest after costly reads, as a fraction of the time that they took. */
const REST_RATIO = 0.25;

/**
 * Lets connections with costly reads read one after the other, in a turn of the event loop each, and
 * rests after it, so that others are served between any two of them and get at least a fifth of the time.
 */
export class ReadTurns {
  readonly #options: ReadTurnsOptions;
  readonly #held = new Set<Reader>();
  /** Time of costly reads after which no rest has followed, in milliseconds. */
  #owedMs = 0;
  #isScheduled = false;

  constructor(options: ReadTurnsOptions) {
    this.#options = options;
  }

  /** Connections that wait for their turn. */
  get heldCount(): number {
    return this.#held.size;
  }

  /** Holds a connection back until its turn, after a read that is found to be costly. */
  hold(reader: Reader): void {
    if (this.#held.has(reader)) return;
    this.#held.add(reader);
    reader.hold();
    this.#schedule();
  }

  /** Accounts for the time that costly reads have taken. */
  addCost(costMs: number): void {
    this.#owedMs += costMs;
  }

  /** Forgets a connection that has ended or that awaits no more costly bytes. */
  remove(reader: Reader): void {
    if (this.#held.delete(reader)) reader.release();
  }

  #schedule(): void {
    if (this.#isScheduled || this.#held.size === 0) return;
    this.#isScheduled = true;
    // The reads of one turn of the event loop are over by then, and their costs known.
    this.#options.schedule(() => {
      this.#rest();
    }, 0);
  }

  #rest(): void {
    const restMs = this.#owedMs * REST_RATIO;
    this.#owedMs = 0;
    this.#options.schedule(() => {
      this.#isScheduled = false;
      this.#releaseNext();
      this.#schedule();
    }, restMs);
  }

  #releaseNext(): void {
    const [next] = this.#held;
    if (next) this.remove(next);
  }
}
