import type { KeyDecision } from '../types/key-decision.ts';
import type { KeyProof } from '../types/key-proof.ts';
import type { OrphanedKeyQuery } from '../types/orphaned-key-query.ts';

/** Rank of a proof: later states of a key override earlier ones. */
const PROOF_RANK = { transferred: 0, 'not-run': 1, failed: 2, completed: 2 } as const;

function answer({ outcome }: KeyProof): KeyDecision {
  if (outcome.word === 'transferred') return { kind: 'forward', to: outcome.to };
  if (outcome.word === 'not-run') return { kind: 'answer', word: 'not-run' };
  const { word, result } = outcome;
  return result === undefined ? { kind: 'answer', word } : { kind: 'answer', word, result };
}

/**
 * Decides on an issued key at a node other than its executor: forwards to the executor while it
 * may be alive, then answers with the strongest proof, or `unknown` if there is none. It never
 * runs the request.
 */
export function decideOrphanedKey(query: OrphanedKeyQuery): KeyDecision {
  if (!query.isGone(query.executor)) return { kind: 'forward', to: query.executor };
  const isReused = query.proofs.some(
    ({ requestDigest }) => requestDigest !== undefined && requestDigest !== query.requestDigest,
  );
  if (isReused) return { kind: 'refuse', reason: 'key-reused', notRun: true };
  const [strongest] = query.proofs.toSorted(
    (a, b) => PROOF_RANK[b.outcome.word] - PROOF_RANK[a.outcome.word],
  );
  return strongest ? answer(strongest) : { kind: 'unknown' };
}
