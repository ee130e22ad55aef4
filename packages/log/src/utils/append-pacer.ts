import type { Random } from '@ragwortrudder/core';

const FIRST_INTERVAL_MS = 64;
const MAX_INTERVAL_MS = 1_000;
const GROWTH = 2;
const DECAY = 0.99;

/**
 * Spaces the appends of one writer so that many writers share the log's append rate:
 * the interval grows with each refusal for rate and shrinks slowly with each append taken.
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

  /** Returns how long to wait before the next append, `elapsedMs` after the previous one. */
  delayMs(elapsedMs: number): number {
    const wantedMs = this.#intervalMs * (0.5 + this.#random.next());
    return Math.max(0, wantedMs - elapsedMs);
  }

  /** Notes that the log took an append. */
  taken(): void {
    const shorter = this.#intervalMs * DECAY;
    this.#intervalMs = shorter < 1 ? 0 : shorter;
  }

  /** Notes that the log refused an append for its rate; returns the wait before it is sent again. */
  refused(retryAfterMs: number): number {
    const longer = Math.max(FIRST_INTERVAL_MS, this.#intervalMs * GROWTH);
    this.#intervalMs = Math.min(longer, MAX_INTERVAL_MS);
    return retryAfterMs * (1 + this.#random.next() / 2);
  }
}
