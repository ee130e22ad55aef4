import type { Clock } from '@ragwortrudder/core';

const MS_PER_SECOND = 1000;

/** Token bucket with a capacity of one second of tokens, and of at least one token. */
export class RateLimit {
  readonly #perSecond: number;
  readonly #clock: Clock;
  readonly #burst: number;
  #tokens: number;
  #updatedMs: number;

  constructor(perSecond: number, clock: Clock) {
    this.#perSecond = perSecond;
    this.#burst = Math.max(1, perSecond);
    this.#clock = clock;
    this.#tokens = this.#burst;
    this.#updatedMs = clock.monotonic();
  }

  /** Takes one token; returns false if none is available. */
  take(): boolean {
    const now = this.#clock.monotonic();
    const gained = ((now - this.#updatedMs) * this.#perSecond) / MS_PER_SECOND;
    this.#tokens = Math.min(this.#burst, this.#tokens + gained);
    this.#updatedMs = now;
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
