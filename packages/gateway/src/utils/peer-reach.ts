import type { Clock } from '@ragwortrudder/core';

interface KnownReach {
  readonly requests: number;
  readonly outOfReach: ReadonlySet<string>;
  /** The peer keeps to the home regions of requests that are passed on to it. */
  readonly keepsHomeRegions?: boolean;
}

interface PeerLoad extends KnownReach {
  /** The peer took no request recently. */
  readonly isAvoided: boolean;
}

/** Time for which a peer that did not take a request gets no other one, in milliseconds: a few reports. */
const AVOIDED_MS = 600;
const NO_REACH: KnownReach = { requests: 0, outOfReach: new Set() };

/** What is known of the peers that may get requests: how much they do, and which runners they do not reach. */
export class PeerReach {
  readonly #clock: Clock;
  readonly #reach = new Map<string, KnownReach>();
  /** Requests that this node has passed on and that are in progress, by peer. */
  readonly #passed = new Map<string, number>();
  readonly #avoidedUntil = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Replaces what a peer has reported. */
  setPeer(peer: string, reach: KnownReach): void {
    this.#reach.set(peer, reach);
  }

  /** Runners that some peer cannot reach. */
  lostByPeers(): ReadonlySet<string> {
    return new Set([...this.#reach.values()].flatMap(({ outOfReach }) => [...outOfReach]));
  }

  /** Adds to the number of requests in progress that were passed on to a peer. */
  addPassed(peer: string, change: number): void {
    const passed = (this.#passed.get(peer) ?? 0) + change;
    if (passed > 0) this.#passed.set(peer, passed);
    else this.#passed.delete(peer);
  }

  /** Records that a peer did not take a request. */
  avoid(peer: string): void {
    this.#avoidedUntil.set(peer, this.#clock.monotonic() + AVOIDED_MS);
  }

  of(peer: string): PeerLoad {
    const known = this.#reach.get(peer) ?? NO_REACH;
    return {
      requests: Math.max(known.requests, this.#passed.get(peer) ?? 0),
      outOfReach: known.outOfReach,
      keepsHomeRegions: known.keepsHomeRegions === true,
      isAvoided: (this.#avoidedUntil.get(peer) ?? -Infinity) > this.#clock.monotonic(),
    };
  }

  /** Forgets all peers that are not among these. */
  retain(peers: ReadonlySet<string>): void {
    for (const known of [this.#reach, this.#avoidedUntil]) {
      for (const peer of known.keys()) if (!peers.has(peer)) known.delete(peer);
    }
  }
}
