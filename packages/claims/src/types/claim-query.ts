import type { Owner } from './owner.ts';

/** Input of a claim decision, in addition to the state. */
export interface ClaimQuery {
  readonly self: Owner;
  readonly tenant: string;
  readonly key: string;
  readonly requestDigest: string;
  /**
   * Attempt that this request has already made as the owner, if any.
   * @default undefined
   */
  readonly attempt?: number;
  /** Returns whether an incarnation is proved to have ended; a suspicion is not sufficient. */
  readonly isGone: (owner: Owner) => boolean;
  /** Returns whether this incarnation has begun to send the attempt or has forfeited it. */
  readonly isStarted: (attempt: number) => boolean;
  /** True while entries can be appended and read back. */
  readonly logAvailable: boolean;
  /** Retry delay returned to callers with a refusal, in milliseconds. */
  readonly retryAfterMs: number;
}
