import type { RequestClass } from './request-class.ts';

/** What a retry budget is kept for. */
export interface RetryKey {
  readonly endpoint: string;
  readonly class: RequestClass;
}
