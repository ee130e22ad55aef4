import type { PromptQuarantine, SharedQuota, StatedLimits } from '@ragwortrudder/admission';
import type { Address, RunnerDirectory } from '@ragwortrudder/catalog';
import type { Clock } from '@ragwortrudder/core';
import type { DomainDigest } from '../types/domain-digest.ts';
import type { RunnerBoot } from '../types/runner-boot.ts';
import type { NodeReport } from '../types/node-report.ts';
import type { ReportExtent } from '../types/report-extent.ts';
import type { RunnerWork } from '../types/runner-work.ts';
import type { DemandMeter } from '../utils/demand-meter.ts';
import type { RunnerLoadTracker } from '../utils/runner-load-tracker.ts';
import type { DisciplinedClock } from '../utils/disciplined-clock.ts';
import { incarnationOf } from '../utils/incarnation-of.ts';
import type { PeerReach } from '../utils/peer-reach.ts';
import type { UsageCounter } from '../utils/usage-counter.ts';
import type { DecisionLog } from './decision-log.ts';
import type { RunnerLinks } from './runner-links.ts';
import type { Rollouts } from './rollouts.ts';

interface PeerStateSyncOptions {
  readonly node: string;
  readonly address: Address;
  readonly failureDomain: string;
  readonly incarnation: number;
  readonly clock: Clock;
  readonly loadTracker: RunnerLoadTracker;
  readonly quota: SharedQuota;
  readonly usage: UsageCounter;
  readonly demand: DemandMeter;
  readonly limits: Pick<StatedLimits, 'own' | 'ofDomain' | 'setPeerLimits' | 'setDomainLimits'>;
  readonly directory: Pick<RunnerDirectory, 'leaving' | 'markLeaving'>;
  readonly log: Pick<DecisionLog, 'notable'>;
  /** Version of the active configuration. */
  readonly configurationVersion: () => number;
  /** Receives the version that a peer follows. */
  readonly onPeerConfiguration: (version: number, peer: Address) => void;
  readonly quarantine: Pick<PromptQuarantine, 'evidence' | 'evidenceOver' | 'setPeerEvidence'>;
  readonly links: () => Pick<
    RunnerLinks,
    'lost' | 'reachedFor' | 'probeFor' | 'recordReachedByPeer'
  >;
  readonly reach: () => Pick<PeerReach, 'of' | 'setPeer' | 'lostByPeers'>;
  readonly rollouts: Pick<Rollouts, 'evidence' | 'setPeerEvidence'>;
  readonly disciplinedClock: DisciplinedClock;
  readonly dutyToken: () => number;
}

interface AppliedDigest {
  readonly relay: string;
  readonly incarnation: number;
  readonly at: number;
  readonly taken: ReadonlyMap<string, number>;
}

/** Silence of a relay after which digests of another relay of its domain are accepted, in milliseconds. */
const RELAY_TIMEOUT_MS = 1_500;
/**
 * Gap between two digests of a relay, in milliseconds, after which the quota consumed in between is
 * not applied: the gap indicates a partition.
 */
const DIGEST_BASELINE_TTL_MS = 4_000;
/** Number of past usage windows in a report: those that may still change or that a peer may have missed. */
const REPORTED_WINDOWS = 3;

/** Creates this node's reports and the digests of its failure domain, and applies those of other nodes. */
export class PeerStateSync {
  readonly #options: PeerStateSyncOptions;
  readonly #takenByPeer = new Map<string, ReadonlyMap<string, number>>();
  readonly #appliedDigests = new Map<string, AppliedDigest>();
  /** Quota consumed by peers of this failure domain, by team, as received in their reports. */
  readonly #takenInDomain = new Map<string, number>();
  #sequence = 0;

  constructor(options: PeerStateSyncOptions) {
    this.#options = options;
  }

  createReport({ isLeaving, includesTotals }: ReportExtent): NodeReport {
    const {
      node,
      address,
      failureDomain,
      incarnation: life,
      loadTracker,
      quota,
      disciplinedClock,
      dutyToken,
    } = this.#options;
    this.#sequence += 1;
    const now = disciplinedClock.now();
    const prompts = this.#options.quarantine.evidence;
    const limits = this.#options.limits.own;
    const leaving = this.#leaving();
    const reach = this.#reach();
    return {
      node,
      host: address.host,
      port: address.port,
      failureDomain,
      life,
      configuration: this.#options.configurationVersion(),
      sequence: this.#sequence,
      now: Math.round(now),
      work: encodeWork(loadTracker.own),
      taken: Object.fromEntries(quota.taken),
      ...(includesTotals ? this.#totals(now) : { usage: {}, demand: {} }),
      ...(limits.length > 0 ? { limits } : {}),
      ...(leaving.length > 0 ? { leaving } : {}),
      ...reach,
      ...(prompts ? { prompts } : {}),
      duty: dutyToken(),
      isLeaving,
    };
  }

  /** Summarizes this node's view of its failure domain. */
  createDigest(members: DomainDigest['members']): DomainDigest {
    const { node, failureDomain, incarnation: life, loadTracker, quota } = this.#options;
    this.#sequence += 1;
    const taken = new Map(quota.taken);
    for (const [team, total] of this.#takenInDomain)
      taken.set(team, (taken.get(team) ?? 0) + total);
    const limits = this.#options.limits.ofDomain;
    const leaving = this.#leaving();
    const prompts = this.#options.quarantine.evidenceOver(new Set(Object.keys(members)));
    return {
      relay: node,
      failureDomain,
      life,
      configuration: this.#options.configurationVersion(),
      sequence: this.#sequence,
      members,
      work: encodeWork(loadTracker.totalOver(new Set(Object.keys(members)))),
      taken: Object.fromEntries(taken),
      ...(limits.length > 0 ? { limits } : {}),
      ...(leaving.length > 0 ? { leaving } : {}),
      ...(prompts ? { prompts } : {}),
    };
  }

  /** Applies a peer's report; `isFirst` when it is the first from this incarnation or after a silence. */
  applyReport(report: NodeReport, isFirst: boolean): void {
    const { loadTracker, usage, demand, disciplinedClock, failureDomain } = this.#options;
    const incarnation = `${report.node} ${report.life}`;
    usage.mergePeerCounts(incarnation, decodeUsage(report));
    disciplinedClock.addPeerTime(report.node, report.now);
    for (const [service, [requests, promptTokens, outputTokens]] of Object.entries(report.demand)) {
      demand.setTotal(incarnation, service, { requests, promptTokens, outputTokens });
    }
    this.#options.rollouts.setPeerEvidence(incarnation, report.outcomes);
    this.#options.limits.setPeerLimits(report.limits ?? []);
    this.#applyLeaving(report.leaving ?? [], report.node);
    this.#applyReach(report);
    const { host, port } = report;
    this.#options.onPeerConfiguration(report.configuration ?? 0, { host, port });
    this.#options.quarantine.setPeerEvidence(
      { node: report.node, incarnation: String(report.life) },
      report.prompts,
    );
    if (this.#isCoveredByDigest(report.failureDomain)) return;
    loadTracker.setPeerWork(report.node, decodeWork(report));
    const previousTotals = isFirst ? undefined : this.#takenByPeer.get(report.node);
    const taken = new Map(Object.entries(report.taken));
    this.#takenByPeer.set(report.node, taken);
    const isLocal = report.failureDomain === failureDomain;
    this.#applyQuotaUse(previousTotals, taken, isLocal ? this.#takenInDomain : undefined);
  }

  /** Applies the digest of another failure domain. Only one of its relays is followed at a time. */
  applyDigest(digest: DomainDigest): void {
    const { loadTracker, clock } = this.#options;
    const { relay, life: incarnation, failureDomain } = digest;
    loadTracker.setPeerWork(`domain ${failureDomain}`, decodeWork(digest));
    this.#options.limits.setDomainLimits(digest.limits ?? []);
    this.#applyLeaving(digest.leaving ?? [], digest.relay);
    const [host, port] = digest.members[relay] ?? [];
    if (host !== undefined && port !== undefined) {
      this.#options.onPeerConfiguration(digest.configuration ?? 0, { host, port });
    }
    this.#options.quarantine.setPeerEvidence(
      { node: `domain ${failureDomain}`, incarnation: `${relay} ${incarnation}` },
      digest.prompts,
    );
    const known = this.#appliedDigests.get(failureDomain);
    const at = clock.monotonic();
    const isSameRelay = known?.relay === relay && known.incarnation === incarnation;
    if (known && !isSameRelay && at - known.at < RELAY_TIMEOUT_MS) return;
    const taken = new Map(Object.entries(digest.taken));
    this.#appliedDigests.set(failureDomain, { relay, incarnation, at, taken });
    this.#applyQuotaUse(
      isSameRelay && at - known.at < DIGEST_BASELINE_TTL_MS ? known.taken : undefined,
      taken,
      undefined,
    );
  }

  #reach(): Pick<NodeReport, 'outOfReach' | 'reached'> {
    const links = this.#options.links();
    const { lost } = links;
    const reached = links.reachedFor(this.#options.reach().lostByPeers());
    return {
      ...(lost.length > 0 ? { outOfReach: lost.map(({ id, bornMs }) => [id, bornMs]) } : {}),
      ...(reached.length > 0 ? { reached: reached.map(({ id, bornMs }) => [id, bornMs]) } : {}),
    };
  }

  #applyReach({ node, work, outOfReach = [], reached = [] }: NodeReport): void {
    const reach = this.#options.reach();
    const links = this.#options.links();
    const lost = outOfReach.map(([id, bornMs]) => incarnationOf({ id, bornMs }));
    const known = reach.of(node).outOfReach;
    reach.setPeer(node, {
      requests: Object.values(work).reduce((sum, [requests]) => sum + requests, 0),
      outOfReach: new Set(lost),
    });
    const lostNow = lost.filter((runner) => !known.has(runner));
    if (lostNow.length > 0) links.probeFor(lostNow);
    for (const [id, bornMs] of reached) links.recordReachedByPeer(incarnationOf({ id, bornMs }));
  }

  #leaving(): readonly RunnerBoot[] {
    return this.#options.directory.leaving.map(({ id, bornMs }) => [id, bornMs] as const);
  }

  #applyLeaving(runners: readonly RunnerBoot[], peer: string): void {
    const { directory, log } = this.#options;
    for (const [id, bornMs] of runners) {
      if (!directory.markLeaving({ id, bornMs })) continue;
      log.notable('runner-leaving', { runner: id, bornMs, peer });
    }
  }

  #isCoveredByDigest(failureDomain: string): boolean {
    const known = this.#appliedDigests.get(failureDomain);
    return known !== undefined && this.#options.clock.monotonic() - known.at < RELAY_TIMEOUT_MS;
  }

  /**
   * Subtracts the quota that others have consumed since their previous report; nothing without a previous
   * report. What they consumed while unreachable came out of their own share of the buckets, which this
   * node did not refill in the meantime.
   */
  #applyQuotaUse(
    previousTotals: ReadonlyMap<string, number> | undefined,
    totals: ReadonlyMap<string, number>,
    cumulative: Map<string, number> | undefined,
  ): void {
    if (!previousTotals) return;
    for (const [team, total] of totals) {
      const consumed = total - (previousTotals.get(team) ?? 0);
      if (consumed === 0) continue;
      this.#options.quota.recordPeerUsage(team, consumed);
      cumulative?.set(team, (cumulative.get(team) ?? 0) + consumed);
    }
  }

  #totals(now: number): Pick<NodeReport, 'usage' | 'demand' | 'outcomes'> {
    const { usage, demand, rollouts } = this.#options;
    const outcomes = rollouts.evidence;
    const oldest = usage.windowAt(now) - REPORTED_WINDOWS;
    const windows = [...usage.own].filter(([window]) => window >= oldest);
    return {
      usage: Object.fromEntries(windows.map(([key, counts]) => [key, Object.fromEntries(counts)])),
      ...(outcomes.cells.length > 0 ? { outcomes } : {}),
      demand: Object.fromEntries(
        [...demand.own].map(([service, total]) => [
          service,
          [total.requests, total.promptTokens, total.outputTokens],
        ]),
      ),
    };
  }
}

function encodeWork(byRunner: ReadonlyMap<string, RunnerWork>): NodeReport['work'] {
  return Object.fromEntries(
    [...byRunner].map(([id, work]) => [
      id,
      [work.requests, Math.round(work.prefillTokens), Math.round(work.kvTokens)],
    ]),
  );
}

function decodeWork({ work }: Pick<NodeReport, 'work'>): ReadonlyMap<string, RunnerWork> {
  return new Map(
    Object.entries(work).map(([id, [requests, prefillTokens, kvTokens]]) => [
      id,
      { requests, prefillTokens, kvTokens },
    ]),
  );
}

function decodeUsage({ usage }: NodeReport): ReadonlyMap<number, ReadonlyMap<string, number>> {
  return new Map(
    Object.entries(usage).map(([window, counts]) => [
      Number(window),
      new Map(Object.entries(counts)),
    ]),
  );
}
