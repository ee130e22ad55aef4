/**
 * Time for which two nodes have to hear different nodes before one introduces them, in milliseconds:
 * longer than a node that starts or stops needs to become known.
 */
const MIN_DIFFERENCE_MS = 2_000;
/** Time between two introductions of a peer, in milliseconds: introductions may be lost. */
const PERIOD_MS = 3_000;

interface Difference {
  readonly since: number;
  readonly introducedAt: number;
}

/**
 * Decides when a peer has to be told which nodes this one hears: when it hears others for longer than a
 * change takes to become known. Two nodes that do not know each other are so introduced by any node
 * that hears both.
 */
export class PeerIntroductions {
  readonly #differences = new Map<string, Difference>();

  /**
   * Records the fingerprint of the nodes that a peer hears, and returns true if it has to be told of
   * those that this node hears.
   */
  isDue(peer: string, fingerprints: { readonly peer: number; readonly own: number }, now: number) {
    if (fingerprints.peer === fingerprints.own) {
      this.#differences.delete(peer);
      return false;
    }
    const { since, introducedAt } = this.#differences.get(peer) ?? {
      since: now,
      introducedAt: -Infinity,
    };
    const isDue = now - since >= MIN_DIFFERENCE_MS && now - introducedAt >= PERIOD_MS;
    this.#differences.set(peer, { since, introducedAt: isDue ? now : introducedAt });
    return isDue;
  }

  /** Forgets peers that are not among these. */
  retain(peers: ReadonlySet<string>): void {
    for (const peer of this.#differences.keys()) {
      if (!peers.has(peer)) this.#differences.delete(peer);
    }
  }
}
