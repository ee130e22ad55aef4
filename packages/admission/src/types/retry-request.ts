import type { RetryKey } from './retry-key.ts';

/** Question whether a failed attempt may be repeated. */
export interface RetryRequest {
  /** Endpoint whose attempt failed, and class. */
  readonly key: RetryKey;
  /** Retries that the caller's layers still allow, from `parseRetriesLeft`. */
  readonly retriesLeft: number;
  /** True when running the request twice does no harm. */
  readonly idempotent: boolean;
  /** True only when it is proved that the failed attempt did not run. */
  readonly notRun: boolean;
  /** Monotonic deadline of the request in milliseconds. */
  readonly deadlineAt: number;
  /** Number of attempts made so far. */
  readonly attempts: number;
}
