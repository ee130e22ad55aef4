interface PlacedPeer {
  readonly failureDomain: string | undefined;
}

/** How much slower than a small deployment a large one tells and listens. */
interface ReportPace {
  /** Multiplies the pause between two reports of this node. */
  readonly telling: number;
  /** Multiplies the silence after which a peer counts as unheard: the largest domain tells least often. */
  readonly listening: number;
}

/** Peers up to which every node tells every other one. */
const FULL_MESH_PEERS = 16;
/** Nodes of a failure domain above which reports become rarer, so that a node's cost stays flat. */
const FULL_RATE_PEERS = 8;

/** Paces the reports of a node by the sizes of the failure domains; undefined while every node tells every other one. */
export function reportPace(
  peers: readonly PlacedPeer[],
  ownDomain: string,
): ReportPace | undefined {
  if (peers.length <= FULL_MESH_PEERS) return undefined;
  const sizes = new Map([[ownDomain, 1]]);
  for (const { failureDomain = '' } of peers) {
    sizes.set(failureDomain, (sizes.get(failureDomain) ?? 0) + 1);
  }
  const factorOf = (size: number): number => Math.max(1, size / FULL_RATE_PEERS);
  return {
    telling: factorOf(sizes.get(ownDomain) ?? 1),
    listening: Math.max(...[...sizes.values()].map(factorOf)),
  };
}
