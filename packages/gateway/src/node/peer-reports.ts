import type { SharedQuota } from '@ragwortrudder/admission';
import type { Address } from '@ragwortrudder/catalog';
import type { Clock } from '@ragwortrudder/core';
import type { DomainDigest } from '../types/domain-digest.ts';
import type { NodeReport } from '../types/node-report.ts';
import type { ReportExtent } from '../types/report-extent.ts';
import type { RunnerWork } from '../types/runner-work.ts';
import type { DemandMeter } from '../utils/demand-meter.ts';
import type { LoadBoard } from '../utils/load-board.ts';
import type { TrueTime } from '../utils/true-time.ts';
import type { UsageCounter } from '../utils/usage-counter.ts';

interface PeerReportsOptions {
  readonly node: string;
  readonly address: Address;
  readonly failureDomain: string;
  readonly life: number;
  readonly clock: Clock;
  readonly board: LoadBoard;
  readonly quota: SharedQuota;
  readonly usage: UsageCounter;
  readonly demand: DemandMeter;
  readonly trueTime: TrueTime;
  readonly dutyToken: () => number;
}

interface KnownDigest {
  readonly relay: string;
  readonly life: number;
  readonly at: number;
  readonly taken: ReadonlyMap<string, number>;
}

/** Silence of a relay after which the figures of another relay of its domain count, in milliseconds. */
const RELAY_SILENT_MS = 1_500;
/** Silence after which what a relay drew is not known to be new, in milliseconds: a partition. */
const FORGOTTEN_MS = 4_000;
/** Windows of usage that a report carries: those that may still change or may have been missed. */
const TOLD_WINDOWS = 3;

/** Makes this node's reports and the digests of its failure domain, and takes in those of others. */
export class PeerReports {
  readonly #options: PeerReportsOptions;
  readonly #takenByPeer = new Map<string, ReadonlyMap<string, number>>();
  readonly #digests = new Map<string, KnownDigest>();
  /** What peers of the own failure domain drew, as far as this node heard it. */
  readonly #takenNear = new Map<string, number>();
  #sequence = 0;

  constructor(options: PeerReportsOptions) {
    this.#options = options;
  }

  own({ isLeaving, hasAccount }: ReportExtent): NodeReport {
    const { node, address, failureDomain, life, board, quota, trueTime, dutyToken } = this.#options;
    this.#sequence += 1;
    const now = trueTime.now();
    return {
      node,
      host: address.host,
      port: address.port,
      failureDomain,
      life,
      sequence: this.#sequence,
      now: Math.round(now),
      work: toldWork(board.own),
      taken: Object.fromEntries(quota.taken),
      ...(hasAccount ? this.#account(now) : { usage: {}, demand: {} }),
      duty: dutyToken(),
      isLeaving,
    };
  }

  /** Sums up what this node knows of its own failure domain. */
  digest(members: DomainDigest['members']): DomainDigest {
    const { node, failureDomain, life, board, quota } = this.#options;
    this.#sequence += 1;
    const taken = new Map(quota.taken);
    for (const [team, total] of this.#takenNear) taken.set(team, (taken.get(team) ?? 0) + total);
    return {
      relay: node,
      failureDomain,
      life,
      sequence: this.#sequence,
      members,
      work: toldWork(board.sumOver(new Set(Object.keys(members)))),
      taken: Object.fromEntries(taken),
    };
  }

  /** Takes in a peer's report; `isFirst` when it was not heard before, or not for a while. */
  take(report: NodeReport, isFirst: boolean): void {
    const { board, usage, demand, trueTime, failureDomain } = this.#options;
    const life = `${report.node} ${report.life}`;
    usage.setPeer(life, usageOf(report));
    trueTime.told(report.node, report.now);
    for (const [service, [requests, promptTokens, outputTokens]] of Object.entries(report.demand)) {
      demand.setTotal(life, service, { requests, promptTokens, outputTokens });
    }
    if (this.#isDigested(report.failureDomain)) return;
    board.setPeer(report.node, workOf(report));
    const before = isFirst ? undefined : this.#takenByPeer.get(report.node);
    const taken = new Map(Object.entries(report.taken));
    this.#takenByPeer.set(report.node, taken);
    const isNear = report.failureDomain === failureDomain;
    this.#draw(before, taken, isNear ? this.#takenNear : undefined);
  }

  /** Takes in the digest of another failure domain. Of its relays, one counts at a time. */
  takeDigest(digest: DomainDigest): void {
    const { board, clock } = this.#options;
    const { relay, life, failureDomain } = digest;
    board.setPeer(`domain ${failureDomain}`, workOf(digest));
    const known = this.#digests.get(failureDomain);
    const at = clock.monotonic();
    const isSame = known?.relay === relay && known.life === life;
    if (known && !isSame && at - known.at < RELAY_SILENT_MS) return;
    const taken = new Map(Object.entries(digest.taken));
    this.#digests.set(failureDomain, { relay, life, at, taken });
    this.#draw(isSame && at - known.at < FORGOTTEN_MS ? known.taken : undefined, taken, undefined);
  }

  #isDigested(failureDomain: string): boolean {
    const known = this.#digests.get(failureDomain);
    return known !== undefined && this.#options.clock.monotonic() - known.at < RELAY_SILENT_MS;
  }

  /**
   * Draws what others drew since they told last; nothing when that is not known. What they drew while
   * they were not heard came out of their own part of the buckets, which this node did not refill
   * meanwhile.
   */
  #draw(
    before: ReadonlyMap<string, number> | undefined,
    totals: ReadonlyMap<string, number>,
    sums: Map<string, number> | undefined,
  ): void {
    if (!before) return;
    for (const [team, total] of totals) {
      const drawn = total - (before.get(team) ?? 0);
      if (drawn === 0) continue;
      this.#options.quota.takenByPeer(team, drawn);
      sums?.set(team, (sums.get(team) ?? 0) + drawn);
    }
  }

  #account(now: number): Pick<NodeReport, 'usage' | 'demand'> {
    const { usage, demand } = this.#options;
    const oldest = usage.windowAt(now) - TOLD_WINDOWS;
    const windows = [...usage.own].filter(([window]) => window >= oldest);
    return {
      usage: Object.fromEntries(windows.map(([key, counts]) => [key, Object.fromEntries(counts)])),
      demand: Object.fromEntries(
        [...demand.own].map(([service, total]) => [
          service,
          [total.requests, total.promptTokens, total.outputTokens],
        ]),
      ),
    };
  }
}

function toldWork(byRunner: ReadonlyMap<string, RunnerWork>): NodeReport['work'] {
  return Object.fromEntries(
    [...byRunner].map(([id, work]) => [
      id,
      [work.requests, Math.round(work.prefillTokens), Math.round(work.kvTokens)],
    ]),
  );
}

function workOf({ work }: Pick<NodeReport, 'work'>): ReadonlyMap<string, RunnerWork> {
  return new Map(
    Object.entries(work).map(([id, [requests, prefillTokens, kvTokens]]) => [
      id,
      { requests, prefillTokens, kvTokens },
    ]),
  );
}

function usageOf({ usage }: NodeReport): ReadonlyMap<number, ReadonlyMap<string, number>> {
  return new Map(
    Object.entries(usage).map(([window, counts]) => [
      Number(window),
      new Map(Object.entries(counts)),
    ]),
  );
}
