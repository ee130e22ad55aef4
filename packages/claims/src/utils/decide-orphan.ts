import type { KeyDecision } from '../types/key-decision.ts';
import type { KeyProof } from '../types/key-proof.ts';
import type { OrphanQuery } from '../types/orphan-query.ts';

/** Later steps of a key's life prove more than earlier ones. */
const WEIGHT = { transferred: 0, 'not-run': 1, failed: 2, completed: 2 } as const;

function answer({ outcome }: KeyProof): KeyDecision {
  if (outcome.word === 'transferred') return { kind: 'forward', to: outcome.to };
  if (outcome.word === 'not-run') return { kind: 'answer', word: 'not-run' };
  const { word, result } = outcome;
  return result === undefined ? { kind: 'answer', word } : { kind: 'answer', word, result };
}

/**
 * Decides on an issued key at a node that is not its executor: forwards while the executor may
 * live, then answers what is proved, else `unknown`. It never runs the request.
 */
export function decideOrphan(query: OrphanQuery): KeyDecision {
  if (!query.isGone(query.executor)) return { kind: 'forward', to: query.executor };
  const isReused = query.proofs.some(
    ({ requestDigest }) => requestDigest !== undefined && requestDigest !== query.requestDigest,
  );
  if (isReused) return { kind: 'refuse', reason: 'key-reused', notRun: true };
  const [best] = query.proofs.toSorted((a, b) => WEIGHT[b.outcome.word] - WEIGHT[a.outcome.word]);
  return best ? answer(best) : { kind: 'unknown' };
}
