import type { RequestClass } from './request-class.ts';

/** Identifies one bucket of a retry budget. */
export interface RetryBudgetKey {
  readonly endpoint: string;
  readonly class: RequestClass;
}
