import type { Clock } from '@ragwortrudder/core';

/** Work that was sent recently; it is forgotten exponentially, so that its size is constant. */
export class RecentWork {
  readonly #clock: Clock;
  #ms = 0;
  #updatedAt = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that work was sent, in milliseconds of a runner's time. */
  add(ms: number, periodMs: number): void {
    this.#ms = this.within(periodMs) + ms;
    this.#updatedAt = this.#clock.monotonic();
  }

  /** Work sent in about the last `periodMs`, in milliseconds. */
  within(periodMs: number): number {
    if (periodMs <= 0) return 0;
    return this.#ms * Math.exp((this.#updatedAt - this.#clock.monotonic()) / periodMs);
  }
}
