import type { Clock } from '@ragwortrudder/core';

const MS_PER_SECOND = 1000;

/** Token bucket with a burst of one second's worth. */
export class RateLimit {
  readonly #perSecond: number;
  readonly #clock: Clock;
  #tokens: number;
  #updatedMs: number;

  constructor(perSecond: number, clock: Clock) {
    this.#perSecond = perSecond;
    this.#clock = clock;
    this.#tokens = perSecond;
    this.#updatedMs = clock.monotonic();
  }

  /** Takes one token; false when none is left. */
  take(): boolean {
    const now = this.#clock.monotonic();
    const gained = ((now - this.#updatedMs) * this.#perSecond) / MS_PER_SECOND;
    this.#tokens = Math.min(this.#perSecond, this.#tokens + gained);
    this.#updatedMs = now;
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
