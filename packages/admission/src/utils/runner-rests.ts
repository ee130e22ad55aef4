import type { Clock } from '@ragwortrudder/core';

interface Rest {
  readonly until: number;
  /** Requests that may be in progress at the runner from this node, once the rest has ended. */
  readonly room: number;
}

/** Longest time for which a runner is left alone, in milliseconds. */
const MAX_REST_MS = 3_600_000;
/** Requests in progress from which a runner has its usual share again. */
const FULL_ROOM = 32;
/** Factor by which the room grows with each request that the runner has taken. */
const ROOM_GAIN = 1.5;

/**
 * Runners that have asked this node for rest, by incarnation. Afterwards work returns gradually: one
 * request at first, and more with each that the runner takes.
 */
export class RunnerRests {
  readonly #clock: Clock;
  readonly #rests = new Map<string, Rest>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get isEmpty(): boolean {
    return this.#rests.size === 0;
  }

  /**
   * Records that a runner wants nothing for a time, in milliseconds. A longer rest replaces a shorter one,
   * never the reverse. Returns true when the runner did not rest before.
   */
  record(runner: string, forMs: number): boolean {
    if (forMs <= 0) return false;
    const now = this.#clock.monotonic();
    const until = now + Math.min(MAX_REST_MS, forMs);
    const known = this.#rests.get(runner);
    if (known && known.until >= until) return false;
    this.#rests.set(runner, { until, room: 1 });
    return known === undefined || known.until <= now;
  }

  /** Records that a runner took a request. */
  recordTaken(runner: string): void {
    const rest = this.#rests.get(runner);
    if (!rest || rest.until > this.#clock.monotonic()) return;
    const room = rest.room * ROOM_GAIN;
    if (room >= FULL_ROOM) this.#rests.delete(runner);
    else this.#rests.set(runner, { ...rest, room });
  }

  /** Whether a runner may get another request beside those of this node that are in progress there. */
  mayTake(runner: string, inProgress: number): boolean {
    const rest = this.#rests.get(runner);
    if (!rest) return true;
    return rest.until <= this.#clock.monotonic() && inProgress < Math.floor(rest.room);
  }

  /** Time until a runner's rest ends, in milliseconds; 0 when it does not rest. */
  remainingMs(runner: string): number {
    const until = this.#rests.get(runner)?.until ?? 0;
    return Math.max(0, until - this.#clock.monotonic());
  }

  /** Forgets rests that ended long ago of runners that are not among these; a rest outlives older lists. */
  prune(listed: ReadonlySet<string>): void {
    const now = this.#clock.monotonic();
    for (const [runner, { until }] of this.#rests) {
      if (until <= now && !listed.has(runner)) this.#rests.delete(runner);
    }
  }
}
