import type { SubsetOptions } from '../types/subset-options.ts';
import { rendezvousOrder } from './rendezvous-order.ts';
import { rendezvousScore } from './rendezvous-score.ts';

const DEFAULT_COVERAGE = 3;

/** Tells whether fewer than `coverage` nodes precede `nodeId` in the runner's order of nodes. */
function isOwner(runner: string, nodeId: string, nodes: readonly string[], coverage: number) {
  const own = rendezvousScore(runner, nodeId);
  let ahead = 0;
  for (const node of nodes) {
    if (node === nodeId) continue;
    const score = rendezvousScore(runner, node);
    if (score > own || (score === own && node < nodeId)) ahead += 1;
    if (ahead >= coverage) return false;
  }
  return true;
}

/**
 * Returns the runners that a node polls and sends work to. Each runner is kept by the `coverage`
 * nodes first in its rendezvous order; each node fills up to `size` by its own order of runners.
 * A runner or node that comes or goes changes only the places that it takes or leaves.
 */
export function subset(options: SubsetOptions): readonly string[] {
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
