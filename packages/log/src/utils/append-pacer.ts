import type { Random } from '@ragwortrudder/core';

const FIRST_INTERVAL_MS = 64;
const MAX_INTERVAL_MS = 1_000;
const GROWTH = 2;
const DECAY = 0.99;

/**
 * Paces the appends of one writer so that many writers can share the log's append rate:
 * the interval grows with each append that the log throttles and shrinks slowly with each one that
 * it accepts.
 */
export class AppendPacer {
  readonly #random: Random;
  #intervalMs = 0;

  constructor(random: Random) {
    this.#random = random;
  }

  /** Mean interval between appends in milliseconds. */
  get intervalMs(): number {
    return this.#intervalMs;
  }

  /**
   * Returns the time to wait before the next append, given that the previous one was `elapsedMs`
   * ago.
   */
  delayMs(elapsedMs: number): number {
    const targetMs = this.#intervalMs * (0.5 + this.#random.next());
    return Math.max(0, targetMs - elapsedMs);
  }

  /** Records that the log accepted an append. */
  accepted(): void {
    const shorter = this.#intervalMs * DECAY;
    this.#intervalMs = shorter < 1 ? 0 : shorter;
  }

  /** Records that the log throttled an append; returns the time to wait before retrying it. */
  throttled(retryAfterMs: number): number {
    const longer = Math.max(FIRST_INTERVAL_MS, this.#intervalMs * GROWTH);
    this.#intervalMs = Math.min(longer, MAX_INTERVAL_MS);
    return retryAfterMs * (1 + this.#random.next() / 2);
  }
}
