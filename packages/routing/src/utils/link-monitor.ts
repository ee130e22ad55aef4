import type { Clock } from '@ragwortrudder/core';
import type { LinkFailure } from '../types/link-failure.ts';

interface DownLink {
  readonly failure: LinkFailure;
  readonly since: number;
  /** When an open connection over a link that was down was last lost. */
  readonly cutAt: number;
  /** When the next probe is due. */
  readonly probeAt: number;
  readonly gapMs: number;
}

/** Time between two probes of a link that is down, in milliseconds; grows up to the second value. */
const FIRST_PROBE_GAP_MS = 200;
const MAX_PROBE_GAP_MS = 800;
const PROBE_GAP_FACTOR = 1.5;
/** Minimum time between two probes of a link that is not down, in milliseconds. */
const SUSPICION_GAP_MS = 1_000;
/** The same for a peer that has just lost its link, in milliseconds; many peers may ask at a time. */
const PEER_PROBE_GAP_MS = 150;
/** Time after the loss of a link in which others tell that they reach its runner, in milliseconds. */
const PROOF_MS = 1_500;

/**
 * Tracks which runners a node can open connections to. A link that is down is probed until it is up
 * again, so that no request is needed to find out.
 */
export class LinkMonitor {
  readonly #clock: Clock;
  readonly #down = new Map<string, DownLink>();
  /** Links that are not down and are to be probed at the next opportunity. */
  readonly #suspected = new Set<string>();
  readonly #suspectedAt = new Map<string, number>();
  /** Runners whose links are down and that other nodes have reached since. */
  readonly #reachedByPeers = new Set<string>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that no connection could be opened; returns true when the link was not down before. */
  recordFailure(runner: string, failure: LinkFailure): boolean {
    const known = this.#down.get(runner);
    const now = this.#clock.monotonic();
    const gapMs = known
      ? Math.min(MAX_PROBE_GAP_MS, known.gapMs * PROBE_GAP_FACTOR)
      : FIRST_PROBE_GAP_MS;
    const { since, cutAt } = known ?? { since: now, cutAt: -Infinity };
    this.#down.set(runner, { failure, since, cutAt, probeAt: now + gapMs, gapMs });
    this.#suspected.delete(runner);
    return known === undefined;
  }

  /** Records that a connection was opened; returns true when the link was down before. */
  recordSuccess(runner: string): boolean {
    this.#suspected.delete(runner);
    this.#reachedByPeers.delete(runner);
    return this.#down.delete(runner);
  }

  /** Records that an open connection over a link that is down was lost, and others with it may be. */
  recordCut(): void {
    const cutAt = this.#clock.monotonic();
    for (const [runner, link] of this.#down) this.#down.set(runner, { ...link, cutAt });
  }

  /**
   * Asks for a probe of a link that is not known to be down, which a peer may ask for more often; returns
   * whether there will be one.
   */
  suspect(runner: string, isForPeer = false): boolean {
    const now = this.#clock.monotonic();
    const gapMs = isForPeer ? PEER_PROBE_GAP_MS : SUSPICION_GAP_MS;
    const suspectedAt = this.#suspectedAt.get(runner) ?? -Infinity;
    if (this.#down.has(runner) || now - suspectedAt < gapMs) return false;
    this.#suspectedAt.set(runner, now);
    this.#suspected.add(runner);
    return true;
  }

  /** No link is down. */
  get isEmpty(): boolean {
    return this.#down.size === 0;
  }

  isDown(runner: string): boolean {
    return this.#down.has(runner);
  }

  /** Since when the link has been down, monotonic; undefined while it is up. */
  downSince(runner: string): number | undefined {
    return this.#down.get(runner)?.since;
  }

  /** When a connection was last lost while the link was down, monotonic; -Infinity if none was. */
  cutAt(runner: string): number {
    return this.#down.get(runner)?.cutAt ?? -Infinity;
  }

  /** Nothing answers behind the link, so that open connections are lost as well. */
  isSilent(runner: string): boolean {
    return this.#down.get(runner)?.failure === 'silent';
  }

  /** Runners whose links are down. */
  get down(): readonly string[] {
    return [...this.#down.keys()];
  }

  /** Records that another node has just reached a runner. */
  recordReachedByPeer(runner: string): void {
    const since = this.downSince(runner);
    // Later the runner may have ended and another one may have its address.
    if (since === undefined || this.#clock.monotonic() - since > PROOF_MS) return;
    this.#reachedByPeers.add(runner);
  }

  /**
   * The link to a runner is down although the runner lives, which others have seen; or the links to all
   * runners are, at least one of which lives.
   */
  isOwnFault(runner: string, runners: readonly string[]): boolean {
    if (!this.#down.has(runner)) return false;
    if (this.#reachedByPeers.has(runner)) return true;
    const hasLostAll = runners.every((item) => this.#down.has(item));
    return hasLostAll && runners.some((item) => this.#reachedByPeers.has(item));
  }

  /** Links to probe now; each is due again only later. */
  takeProbes(): readonly string[] {
    const now = this.#clock.monotonic();
    const due = [...this.#suspected];
    this.#suspected.clear();
    for (const [runner, link] of this.#down) {
      if (link.probeAt > now) continue;
      this.#down.set(runner, { ...link, probeAt: now + link.gapMs });
      due.push(runner);
    }
    return due;
  }

  /** Forgets all runners that are not among these. */
  retain(runners: ReadonlySet<string>): void {
    for (const known of [this.#down, this.#suspectedAt, this.#suspected, this.#reachedByPeers]) {
      for (const runner of known.keys()) if (!runners.has(runner)) known.delete(runner);
    }
  }
}
