import { SharedQuota } from '@ragwortrudder/admission';
import type { Clock } from '@ragwortrudder/core';
import type { QuotaLevels } from '../types/quota-levels.ts';
import type { DecisionLog } from './decision-log.ts';
import type { Peers } from './peers.ts';

interface QuotaExchangeOptions {
  readonly clock: Clock;
  /** Length of the windows in which the limits hold, in milliseconds. */
  readonly windowMs: number | undefined;
  readonly peers: () => Pick<Peers, 'reachableCount' | 'knownCount' | 'timing'>;
  readonly log: Pick<DecisionLog, 'notable'>;
}

/** The teams' limits as this node shares them with its peers; one that has just started learns what is left. */
export class QuotaExchange {
  readonly quota: SharedQuota;
  readonly #options: QuotaExchangeOptions;
  /** Share of this node that the answers were applied to, or a smaller one since: a larger one allows more. */
  #answeredShare = 0;

  constructor(options: QuotaExchangeOptions) {
    const { clock, windowMs, peers } = options;
    this.#options = options;
    this.quota = new SharedQuota(clock, {
      windowMs,
      delayMs: () => peers().timing.relayedUseMs,
      nodeCount: () => peers().knownCount,
    });
  }

  /** This node needs what its peers know; its reports say so until it has been told. */
  get isAsking(): boolean {
    const { quota } = this;
    return quota.isCautious && quota.levels.size > 0 && quota.share > this.#answeredShare;
  }

  /** Sets the share of the buckets that belongs to this node and the peers that it hears. */
  updateShare(): void {
    const { quota } = this;
    const { peers, log } = this.#options;
    const { reachableCount, knownCount } = peers();
    const share = reachableCount / knownCount;
    if (share === quota.share) return;
    quota.setShare(share);
    this.#answeredShare = Math.min(this.#answeredShare, share);
    log.notable('quota-share', { share, reachableCount, knownCount });
  }

  /**
   * What is left by what nodes have reported, for a peer that asks: without the use of that peer, of which
   * `applied` has been deducted, and without what this node has taken since it `reported`. Undefined where
   * this node asks itself, as it does not know.
   */
  levelsFor(
    applied: ReadonlyMap<string, number>,
    reported: ReadonlyMap<string, number>,
  ): ReadonlyMap<string, number> | undefined {
    const { levels, taken } = this.quota;
    if (this.isAsking || levels.size === 0) return undefined;
    return new Map(
      [...levels].map(([team, level]) => {
        const unreported = (taken.get(team) ?? 0) - (reported.get(team) ?? 0);
        return [team, Math.floor(level + (applied.get(team) ?? 0) + unreported)];
      }),
    );
  }

  /** Applies the levels of an answer; returns false where this node no longer needs them. */
  receive({ node: peer, levels }: Pick<QuotaLevels, 'node' | 'levels'>): boolean {
    const { quota, isAsking } = this;
    if (!quota.isCautious) return false;
    quota.recordPeerLevels(new Map(Object.entries(levels)), { isFirst: isAsking });
    if (isAsking) this.#options.log.notable('quota-levels-received', { peer, share: quota.share });
    this.#answeredShare = quota.share;
    return true;
  }
}
