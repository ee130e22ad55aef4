import { setTimeout as sleep } from 'node:timers/promises';
import type { Clock } from '@ragwortrudder/core';
import { TokenBucket } from '@ragwortrudder/supply';

interface PaceOptions {
  readonly ratePerSecond: number;
  readonly clock: Clock;
  readonly signal: AbortSignal;
}

/** Spaces calls to keep them below a rate of the other side. */
export class Pace {
  readonly #clock: Clock;
  readonly #signal: AbortSignal;
  readonly #bucket: TokenBucket;

  constructor({ ratePerSecond, clock, signal }: PaceOptions) {
    this.#clock = clock;
    this.#signal = signal;
    this.#bucket = new TokenBucket({ ratePerSecond });
  }

  /** Waits for the next call's turn; false when that would come after `until`, or on closing. */
  async take(until: number): Promise<boolean> {
    while (!this.#signal.aborted) {
      const now = this.#clock.monotonic();
      if (this.#bucket.tryTake(now)) return true;
      const next = this.#bucket.nextAt(now);
      if (next > until) return false;
      await sleep(Math.max(1, next - now), undefined, { signal: this.#signal }).catch(
        () => undefined,
      );
    }
    return false;
  }

  /** Lets no call through for `retryAfterMs`, as the other side asked. */
  throttled(retryAfterMs: number): void {
    this.#bucket.recordThrottled(retryAfterMs, this.#clock.monotonic());
  }
}
