import type { Clock } from '@ragwortrudder/core';

/** A sample covers at least this time, in milliseconds: about the period of the reports it is based on. */
const WINDOW_MS = 200;
const GAIN = 0.3;
/** Lowest rate that is assumed, in milliseconds of backlog per millisecond: it may not shrink at all. */
const MIN_RATE = 0.1;
/** Highest rate: a runner without new requests works off a millisecond of backlog in a millisecond. */
const MAX_RATE = 1;

/** Rate at which the excess backlog of a service shrinks. */
export class BacklogTrend {
  readonly #clock: Clock;
  #latestMs = 0;
  #rate = MAX_RATE / 2;
  #since: { readonly at: number; readonly backlogMs: number } | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** The backlog that was observed last, in milliseconds. */
  get latestMs(): number {
    return Math.max(0, this.#latestMs);
  }

  /** Records the excess backlog of this moment, in milliseconds. */
  observe(backlogMs: number): void {
    if (!Number.isFinite(backlogMs)) return;
    const at = this.#clock.monotonic();
    this.#latestMs = backlogMs;
    if (!this.#since) {
      this.#since = { at, backlogMs };
      return;
    }
    const elapsedMs = at - this.#since.at;
    if (elapsedMs < WINDOW_MS) return;
    const sample = (this.#since.backlogMs - backlogMs) / elapsedMs;
    const bounded = Math.min(MAX_RATE, Math.max(MIN_RATE, sample));
    this.#rate += GAIN * (bounded - this.#rate);
    this.#since = { at, backlogMs };
  }

  /** Time in which a backlog shrinks to nothing, in milliseconds. */
  drainMs(backlogMs: number): number {
    return Math.max(0, backlogMs) / this.#rate;
  }
}
