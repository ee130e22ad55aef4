import type { TokenBucketOptions } from '../types/token-bucket-options.ts';

const MS_PER_S = 1000;

/** Token bucket, for example to keep weight loads under the weight store's rate. */
export class TokenBucket {
  readonly #ratePerMs: number;
  readonly #burst: number;
  #tokens: number;
  #refilledAt: number | undefined;
  #closedUntil = -Infinity;

  constructor(options: TokenBucketOptions) {
    this.#ratePerMs = options.ratePerSecond / MS_PER_S;
    this.#burst = options.burst ?? 1;
    this.#tokens = this.#burst;
  }

  /** Takes one token; false when there is none. */
  tryTake(now: number): boolean {
    this.#refill(now);
    if (now < this.#closedUntil || this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }

  /** Monotonic time at which the next token can be taken. */
  nextAt(now: number): number {
    this.#refill(now);
    const waitMs = this.#tokens >= 1 ? 0 : (1 - this.#tokens) / this.#ratePerMs;
    return Math.max(now + waitMs, this.#closedUntil);
  }

  /** Notes that the other side refused for its rate: nothing is taken until `retryAfterMs` passed. */
  throttled(retryAfterMs: number, now: number): void {
    this.#closedUntil = Math.max(this.#closedUntil, now + retryAfterMs);
  }

  #refill(now: number): void {
    const elapsedMs = now - (this.#refilledAt ?? now);
    this.#tokens = Math.min(this.#burst, this.#tokens + elapsedMs * this.#ratePerMs);
    this.#refilledAt = now;
  }
}
