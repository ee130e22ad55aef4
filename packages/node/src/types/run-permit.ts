import type { ExecutionOutcome } from '@ragwortrudder/claims';
import type { Outcome } from '@ragwortrudder/requests';

/** Permission to send one non-idempotent request once; also records its outcome. */
export interface RunPermit {
  /**
   * Acquires the permission to send. Call it once, immediately before sending the first byte.
   * Returns the final outcome when the request must not be sent.
   */
  begin(): Promise<Outcome | undefined>;
  /** Records the outcome after `begin`; `not-run` is also valid instead of calling `begin`. */
  finish(outcome: ExecutionOutcome, result?: unknown): Promise<void>;
  /** Gives up the permission permanently. Returns false when it may already be in use. */
  giveUp(): boolean;
}
