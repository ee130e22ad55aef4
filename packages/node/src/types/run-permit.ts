import type { ExecutionOutcome } from '@ragwortrudder/claims';
import type { Outcome } from '@ragwortrudder/requests';

/** Permission to send one non-idempotent request, and the place where its outcome is recorded. */
export interface RunPermit {
  /**
   * Takes the right to send; to be called once, right before the first byte.
   * Returns the final outcome when the request must not be sent.
   */
  begin(): Promise<Outcome | undefined>;
  /** Records the outcome after `begin`, or `not-run` in its place. */
  finish(word: ExecutionOutcome, result?: unknown): Promise<void>;
  /** Gives up the right to send, for good; false when it may be in use. */
  giveUp(): boolean;
}
