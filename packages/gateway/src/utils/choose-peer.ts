import type { Random } from '@ragwortrudder/core';

/** A node that may get a request which another node cannot send to a runner. */
interface PeerCandidate {
  readonly id: string;
  readonly failureDomain: string | undefined;
  /** Requests in progress at the node. */
  readonly requests: number;
  /** Incarnations of the runners that the node cannot reach. */
  readonly outOfReach: ReadonlySet<string>;
}

interface PeerQuery<T extends PeerCandidate> {
  readonly peers: readonly T[];
  /** Incarnations of the runners that could serve the request. */
  readonly runners: readonly string[];
  /** Runners among them that this node cannot reach. */
  readonly lost: ReadonlySet<string>;
  readonly failureDomain: string;
  readonly random: Random;
}

/** Requests in progress that a peer in the same failure domain may have more than one in another. */
const DOMAIN_PREFERENCE = 2;

/**
 * Chooses the peer with the least to do among those that reach a runner which this node does not reach.
 */
export function choosePeer<T extends PeerCandidate>({
  peers,
  runners,
  lost,
  failureDomain,
  random,
}: PeerQuery<T>): T | undefined {
  const wanted = runners.filter((runner) => lost.has(runner));
  let best: T | undefined;
  let bestCost = Infinity;
  for (const peer of peers) {
    if (!wanted.some((runner) => !peer.outOfReach.has(runner))) continue;
    const distance = peer.failureDomain === failureDomain ? 0 : DOMAIN_PREFERENCE;
    const cost = peer.requests + distance + random.next();
    if (cost >= bestCost) continue;
    best = peer;
    bestCost = cost;
  }
  return best;
}
