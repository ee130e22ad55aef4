import type { SubsetOptions } from '../types/subset-options.ts';
import { rendezvousOrder } from './rendezvous-order.ts';
import { rendezvousScore } from './rendezvous-score.ts';

const DEFAULT_COVERAGE = 3;

/**
 * Returns whether `nodeId` is among the first `coverage` nodes in the runner's rendezvous order.
 */
function isOwner(runner: string, nodeId: string, nodes: readonly string[], coverage: number) {
  const ownScore = rendezvousScore(runner, nodeId);
  let higherRanked = 0;
  for (const node of nodes) {
    if (node === nodeId) continue;
    const score = rendezvousScore(runner, node);
    if (score > ownScore || (score === ownScore && node < nodeId)) higherRanked += 1;
    if (higherRanked >= coverage) return false;
  }
  return true;
}

/**
 * Returns the runners that a node polls and sends work to. Each runner belongs to the subsets of
 * the first `coverage` nodes in its rendezvous order; each node fills its subset up to `size` in
 * its own rendezvous order of runners. A runner or node that joins or leaves changes only the
 * entries that it takes up or frees.
 */
export function selectSubset(options: SubsetOptions): readonly string[] {
  const { nodeId, runners, size, nodes = [], coverage = DEFAULT_COVERAGE } = options;
  if (runners.length <= size) return [...runners].sort();
  const owned =
    nodes.length === 0 ? [] : runners.filter((runner) => isOwner(runner, nodeId, nodes, coverage));
  const chosen = new Set(owned);
  for (const runner of rendezvousOrder(nodeId, runners, (id) => id)) {
    if (chosen.size >= size) break;
    chosen.add(runner);
  }
  return [...chosen].sort();
}
