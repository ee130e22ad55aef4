import type { HedgeDelay } from '../utils/hedge-delay.ts';
import type { RetryBudget } from '../utils/retry-budget.ts';
import type { RetryKey } from './retry-key.ts';

/** Input of the decision on a hedge: a second attempt beside one that is slow to answer. */
export interface HedgeOptions {
  /** Endpoint of the slow attempt, and class. */
  readonly key: RetryKey;
  /** True when running the request twice does no harm. */
  readonly idempotent: boolean;
  /** Retries that the caller's layers still allow. */
  readonly retriesLeft: number;
  /** Time since the attempt was sent in milliseconds. */
  readonly waitedMs: number;
  readonly delay: HedgeDelay;
  readonly budget: RetryBudget;
  /** Monotonic time in milliseconds. */
  readonly now: number;
}
