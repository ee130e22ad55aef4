interface LocatedPeer {
  readonly failureDomain: string | undefined;
}

/** Factors by which a large deployment slows down reports and extends time-outs. */
interface ReportPace {
  /** Multiplies the interval between two reports of this node. */
  readonly intervalFactor: number;
  /**
   * Multiplies the time-out after which a peer counts as unreachable; follows the largest domain,
   * whose nodes report least often.
   */
  readonly timeoutFactor: number;
}

/** Number of peers up to which every node reports to every other one. */
const FULL_MESH_PEERS = 16;
/**
 * Nodes of a failure domain above which reports are sent less often, so that the cost for each node
 * stays constant.
 */
const FULL_RATE_NODES = 8;

/**
 * Derives the report pace of a node from the sizes of the failure domains; undefined while every
 * node reports to every other one.
 */
export function reportPace(
  peers: readonly LocatedPeer[],
  ownDomain: string,
): ReportPace | undefined {
  if (peers.length <= FULL_MESH_PEERS) return undefined;
  const sizes = new Map([[ownDomain, 1]]);
  for (const { failureDomain = '' } of peers) {
    sizes.set(failureDomain, (sizes.get(failureDomain) ?? 0) + 1);
  }
  const factorOf = (size: number): number => Math.max(1, size / FULL_RATE_NODES);
  return {
    intervalFactor: factorOf(sizes.get(ownDomain) ?? 1),
    timeoutFactor: Math.max(...[...sizes.values()].map(factorOf)),
  };
}
