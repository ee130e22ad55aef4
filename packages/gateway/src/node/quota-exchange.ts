import { SharedQuota } from '@ragwortrudder/admission';
import type { Address } from '@ragwortrudder/catalog';
import type { Clock } from '@ragwortrudder/core';
import type { QuotaLevels } from '../types/quota-levels.ts';
import type { DecisionLog } from './decision-log.ts';
import type { Peers } from './peers.ts';

interface QuotaExchangeOptions {
  readonly node: string;
  readonly clock: Clock;
  /** Length of the windows in which the limits hold, in milliseconds. */
  readonly windowMs: number | undefined;
  readonly peers: () => Pick<Peers, 'reachableCount' | 'knownCount' | 'timing' | 'sendQuotaLevels'>;
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
   * Tells a peer that asks what is left without its own use, of which `applied` has been deducted; a
   * node that asks itself does not know it.
   */
  answer(peer: Address, applied: ReadonlyMap<string, number>): void {
    const { node, peers } = this.#options;
    const { levels } = this.quota;
    if (this.isAsking || levels.size === 0) return;
    const left = [...levels].map(
      ([team, level]) => [team, Math.floor(level + (applied.get(team) ?? 0))] as const,
    );
    peers().sendQuotaLevels({ node, levels: Object.fromEntries(left) }, peer);
  }

  /** Applies an answer. */
  receive({ node: peer, levels }: QuotaLevels): void {
    const { quota } = this;
    if (!quota.isCautious) return;
    quota.recordPeerLevels(new Map(Object.entries(levels)));
    if (this.isAsking)
      this.#options.log.notable('quota-levels-received', { peer, share: quota.share });
    this.#answeredShare = quota.share;
  }
}
