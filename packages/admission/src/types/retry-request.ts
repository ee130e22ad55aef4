import type { RetryBudgetKey } from './retry-budget-key.ts';

/** A request with a failed attempt, for the decision whether to retry it. */
export interface RetryRequest {
  /** Endpoint of the failed attempt and class of the request. */
  readonly key: RetryBudgetKey;
  /** Retries that the calling layers still allow, from `parseRetriesLeft`. */
  readonly retriesLeft: number;
  /** True when it is safe to run the request more than once. */
  readonly idempotent: boolean;
  /** True only when the failed attempt is proven not to have run. */
  readonly notRun: boolean;
  /** Monotonic deadline of the request in milliseconds. */
  readonly deadlineAt: number;
  /** Number of attempts made so far. */
  readonly attempts: number;
}
