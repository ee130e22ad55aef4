import type { Owner } from './owner.ts';

/** Input of a claim decision, beside the state. */
export interface ClaimQuery {
  readonly self: Owner;
  readonly tenant: string;
  readonly key: string;
  readonly requestDigest: string;
  /**
   * Attempt that this request already pursued as owner, if any.
   * @default undefined
   */
  readonly attempt?: number;
  /** True when the incarnation is proved to have ended, never on suspicion alone. */
  readonly isGone: (owner: Owner) => boolean;
  /** True when this incarnation began to send the attempt or gave it up. */
  readonly isStarted: (attempt: number) => boolean;
  /** True while entries can be appended and read back. */
  readonly logAvailable: boolean;
  /** Delay offered to callers while the log is unavailable, in milliseconds. */
  readonly retryAfterMs: number;
}
