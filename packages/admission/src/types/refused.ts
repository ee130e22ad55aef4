import type { RefusalReason } from './refusal-reason.ts';

/** A request that was refused and has not been run. */
export interface Refused {
  readonly state: 'refused';
  readonly reason: RefusalReason;
  /** Suggested delay before a retry, in milliseconds. */
  readonly retryAfterMs: number;
}
