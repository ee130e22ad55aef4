import type { TokenBucketOptions } from '../types/token-bucket-options.ts';

const MS_PER_S = 1000;

/** Token bucket rate limiter, for example to keep weight loads within the rate limit of the weight store. */
export class TokenBucket {
  readonly #ratePerMs: number;
  readonly #burst: number;
  #tokens: number;
  #refilledAt: number | undefined;
  #throttledUntil = -Infinity;

  constructor(options: TokenBucketOptions) {
    this.#ratePerMs = options.ratePerSecond / MS_PER_S;
    this.#burst = options.burst ?? 1;
    this.#tokens = this.#burst;
  }

  /** Takes one token; returns false if none is available. */
  tryTake(now: number): boolean {
    this.#refill(now);
    if (now < this.#throttledUntil || this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }

  /** Returns the monotonic time at which the next token is available. */
  nextAt(now: number): number {
    this.#refill(now);
    const waitMs = this.#tokens >= 1 ? 0 : (1 - this.#tokens) / this.#ratePerMs;
    return Math.max(now + waitMs, this.#throttledUntil);
  }

  /** Records that the remote side throttled a request: no token is available until `retryAfterMs` has passed. */
  recordThrottled(retryAfterMs: number, now: number): void {
    this.#throttledUntil = Math.max(this.#throttledUntil, now + retryAfterMs);
  }

  #refill(now: number): void {
    const elapsedMs = now - (this.#refilledAt ?? now);
    this.#tokens = Math.min(this.#burst, this.#tokens + elapsedMs * this.#ratePerMs);
    this.#refilledAt = now;
  }
}
