import { rendezvousOrder } from '@ragwortrudder/routing';

interface TrialNode {
  readonly id: string;
  /** Time since its start, in milliseconds. */
  readonly upMs: number;
  readonly isStopping: boolean;
  /** The other nodes that are heard. */
  readonly reachableIds: readonly string[];
  /** Number of known nodes, including this one; undefined before the node has read which there are. */
  readonly knownCount: number | undefined;
}

/** Time from which a node knows its peers, and what they have tried, even if it does not hear all of them, in milliseconds. */
const MIN_UPTIME_MS = 10_000;
/** The same for a node that hears all known nodes: they have reported at least once since. */
const MIN_UPTIME_AMONG_ALL_MS = 1_500;

/**
 * Rank of a node among those that try a quarantined part again, the first of which is 0; undefined when
 * it must not try: it is about to stop, hears too few of the others, or has just started and may not know
 * what they try.
 */
export function trialRank(part: string, node: TrialNode): number | undefined {
  const { id, upMs, isStopping, reachableIds, knownCount } = node;
  if (isStopping || knownCount === undefined) return undefined;
  const nodes = [id, ...reachableIds];
  if (2 * nodes.length <= knownCount) return undefined;
  const hearsAll = nodes.length >= knownCount;
  if (upMs < (hearsAll ? MIN_UPTIME_AMONG_ALL_MS : MIN_UPTIME_MS)) return undefined;
  return rendezvousOrder(part, nodes, (item) => item).indexOf(id);
}
