import type { HedgeDelay } from '../utils/hedge-delay.ts';
import type { RetryBudget } from '../utils/retry-budget.ts';
import type { RetryBudgetKey } from './retry-budget-key.ts';

/** Input of the decision on a hedge: a second, concurrent attempt while the first is slow. */
export interface HedgeOptions {
  /** Endpoint of the slow attempt and class of the request. */
  readonly key: RetryBudgetKey;
  /** True when it is safe to run the request more than once. */
  readonly idempotent: boolean;
  /** Retries that the calling layers still allow. */
  readonly retriesLeft: number;
  /** Time since the attempt was sent, in milliseconds. */
  readonly waitedMs: number;
  readonly delay: HedgeDelay;
  readonly budget: RetryBudget;
  /** Monotonic time in milliseconds. */
  readonly now: number;
}
