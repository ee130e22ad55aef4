import type { RefusalReason } from './refusal-reason.ts';

/** A request that was refused and has not been run. */
export interface Refused {
  readonly state: 'refused';
  readonly reason: RefusalReason;
  /** Delay in milliseconds after which a retry makes sense. */
  readonly retryAfterMs: number;
}
