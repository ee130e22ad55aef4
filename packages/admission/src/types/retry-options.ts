import type { Random } from '@ragwortrudder/core';
import type { RetryBudget } from '../utils/retry-budget.ts';
import type { RetryRequest } from './retry-request.ts';

/** Input of the decision on a retry. */
export interface RetryOptions {
  readonly request: RetryRequest;
  readonly budget: RetryBudget;
  readonly random: Random;
  /** Monotonic time in milliseconds. */
  readonly now: number;
  /**
   * Upper bound of the first delay in milliseconds; doubles with each attempt.
   * @default 50
   */
  readonly baseDelayMs?: number;
  /**
   * Maximum delay in milliseconds.
   * @default 2000
   */
  readonly maxDelayMs?: number;
}
