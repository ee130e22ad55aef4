import type { Clock } from '../types/clock.ts';

/** {@link Clock} that advances only on request, for tests and replays. */
export class ManualClock implements Clock {
  #now: number;

  constructor(startMs = 0) {
    this.#now = startMs;
  }

  wall(): number {
    return this.#now;
  }

  monotonic(): number {
    return this.#now;
  }

  /** Advances the clock by `ms` milliseconds. */
  advance(ms: number): void {
    this.#now += ms;
  }
}
