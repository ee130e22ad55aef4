import type { KeyProof } from './key-proof.ts';
import type { Owner } from './owner.ts';

/** Input of the decision on an issued key at a node other than its executor. */
export interface OrphanedKeyQuery {
  readonly executor: Owner;
  readonly requestDigest: string;
  /** Returns whether an incarnation is proved to have ended; a suspicion is not sufficient. */
  readonly isGone: (owner: Owner) => boolean;
  /** Proofs found at peers and in the log. */
  readonly proofs: readonly KeyProof[];
}
