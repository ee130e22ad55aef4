import type { OutcomeWord } from './outcome-word.ts';
import type { Owner } from './owner.ts';

/** What the log proves about one key of one tenant. */
export interface ClaimRecord {
  readonly tenant: string;
  readonly key: string;
  readonly service: string;
  readonly requestDigest: string;
  /** Position of the claim that opened the current attempt. */
  readonly attempt: number;
  /** The only incarnation that may send this attempt. */
  readonly owner: Owner;
  /** `claimed` before the effective `sending`, then `sending`, then the outcome. */
  readonly phase: 'claimed' | 'sending' | OutcomeWord;
  readonly result?: unknown;
  /** Log time of the last effective entry, in milliseconds since the epoch. */
  readonly changedAtMs: number;
}
