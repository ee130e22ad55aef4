import type { KeyProof } from './key-proof.ts';
import type { Owner } from './owner.ts';

/** Input of the decision on an issued key at a node that is not its executor. */
export interface OrphanQuery {
  readonly executor: Owner;
  readonly requestDigest: string;
  /** True when the incarnation is proved to have ended, never on suspicion alone. */
  readonly isGone: (owner: Owner) => boolean;
  /** Proofs found at peers and in the log. */
  readonly proofs: readonly KeyProof[];
}
