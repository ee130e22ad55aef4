import type { Clock } from '@ragwortrudder/core';

interface Watch {
  /** Monotonic time of the first look, in milliseconds. */
  readonly since: number;
  /** Monotonic time at which an id was last seen for the first time, in milliseconds. */
  readonly lastAt: number;
  readonly ids: ReadonlySet<string>;
}

interface ArrivalTimes {
  /** Time since the first look, in milliseconds. */
  readonly watchedMs: number;
  /** Time without a new id, in milliseconds. */
  readonly steadyMs: number;
}

/** Tells for how long sets of ids have been watched, and for how long no id has joined them. */
export class Arrivals {
  readonly #clock: Clock;
  readonly #watches = new Map<string, Watch>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records the ids that a set has now. */
  observe(key: string, ids: readonly string[]): ArrivalTimes {
    const now = this.#clock.monotonic();
    const known = this.#watches.get(key);
    const since = known?.since ?? now;
    const hasNew = ids.some((id) => !known?.ids.has(id));
    const lastAt = known && !hasNew ? known.lastAt : now;
    this.#watches.set(key, { since, lastAt, ids: new Set(ids) });
    return { watchedMs: now - since, steadyMs: now - lastAt };
  }

  clear(): void {
    this.#watches.clear();
  }
}
