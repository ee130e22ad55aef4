import { setTimeout as sleep } from 'node:timers/promises';
import type { Clock } from '@ragwortrudder/core';
import { TokenBucket } from '@ragwortrudder/supply';

interface RateLimiterOptions {
  readonly ratePerSecond: number;
  readonly clock: Clock;
  readonly signal: AbortSignal;
}

/** Delays calls to stay below the rate limit of the called system. */
export class RateLimiter {
  readonly #clock: Clock;
  readonly #signal: AbortSignal;
  readonly #bucket: TokenBucket;

  constructor({ ratePerSecond, clock, signal }: RateLimiterOptions) {
    this.#clock = clock;
    this.#signal = signal;
    this.#bucket = new TokenBucket({ ratePerSecond });
  }

  /**
   * Waits for permission to make a call. Returns false when that would come after `until`, or when
   * the signal aborts.
   */
  async acquire(until: number): Promise<boolean> {
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

  /** Blocks all calls for `retryAfterMs`, as the called system asked. */
  throttled(retryAfterMs: number): void {
    this.#bucket.recordThrottled(retryAfterMs, this.#clock.monotonic());
  }
}
