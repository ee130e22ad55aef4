import type {
  BrittleRunners,
  PromptQuarantine,
  SharedQuota,
  StatedLimits,
} from '@ragwortrudder/admission';
import type { Address, RunnerDirectory } from '@ragwortrudder/catalog';
import type { Clock } from '@ragwortrudder/core';
import type { RunnerSpeeds } from '@ragwortrudder/routing';
import type { Demand } from '../types/demand.ts';
import type { DomainDigest } from '../types/domain-digest.ts';
import type { RunnerBoot } from '../types/runner-boot.ts';
import type { NodeReport } from '../types/node-report.ts';
import type { QuotaLevels } from '../types/quota-levels.ts';
import type { ReportExtent } from '../types/report-extent.ts';
import type { ReportTiming } from '../types/report-timing.ts';
import type { RunnerWork } from '../types/runner-work.ts';
import type { DemandMeter } from '../utils/demand-meter.ts';
import { FollowedDigests } from '../utils/followed-digests.ts';
import type { RunnerLoadTracker } from '../utils/runner-load-tracker.ts';
import type { DisciplinedClock } from '../utils/disciplined-clock.ts';
import { incarnationOf } from '../utils/incarnation-of.ts';
import type { PeerReach } from '../utils/peer-reach.ts';
import type { UsageCounter } from '../utils/usage-counter.ts';
import type { DecisionLog } from './decision-log.ts';
import type { Peers } from './peers.ts';
import type { QuotaExchange } from './quota-exchange.ts';
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
  readonly quotaExchange: Pick<QuotaExchange, 'isAsking' | 'levelsFor' | 'receive'>;
  readonly peers: () => Pick<Peers, 'sendQuotaLevels'>;
  readonly usage: UsageCounter;
  readonly demand: DemandMeter;
  readonly limits: Pick<
    StatedLimits,
    'own' | 'ofDomain' | 'setPeerLimits' | 'setDomainLimits' | 'cold'
  >;
  readonly brittle: Pick<
    BrittleRunners,
    'report' | 'domainReport' | 'setPeerReport' | 'setDomainReport'
  >;
  readonly speeds: Pick<
    RunnerSpeeds,
    'takeReport' | 'takeDigest' | 'setPeer' | 'setDomain' | 'forgetPeer' | 'forgetDomain'
  >;
  readonly directory: Pick<
    RunnerDirectory,
    'leaving' | 'markLeaving' | 'readableMs' | 'recordReadElsewhere'
  >;
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
  readonly timing: () => ReportTiming;
  /** This node gets the reports of its failure domain. */
  readonly isRelay: () => boolean;
}

/** What this node has reported of itself. */
interface OwnReport {
  readonly sequence: number;
  readonly work: NodeReport['work'];
  readonly taken: ReadonlyMap<string, number>;
}

/** Quota that a peer has consumed since its incarnation started, by team. */
interface PeerUse {
  readonly incarnation: number;
  readonly taken: ReadonlyMap<string, number>;
  /** When an answer of the peer stated it; undefined where a report did. */
  readonly answeredAt?: number;
}

interface AppliedDigest {
  readonly relay: string;
  readonly incarnation: number;
  readonly at: number;
  readonly taken: ReadonlyMap<string, number>;
  /** What of this node itself is part of the digest; undefined in a digest of another domain. */
  readonly own: OwnReport | undefined;
}

/** Number of past usage windows in a report: those that may still change or that a peer may have missed. */
const REPORTED_WINDOWS = 3;
/** Number of own reports that a digest may still be based on. */
const KEPT_REPORTS = 16;
const NOTHING_TAKEN: ReadonlyMap<string, number> = new Map();
const NOTHING_REPORTED: OwnReport = { sequence: 0, work: {}, taken: NOTHING_TAKEN };

/** Creates this node's reports and the digests of its failure domain, and applies those of other nodes. */
export class PeerStateSync {
  readonly #options: PeerStateSyncOptions;
  readonly #takenByPeer = new Map<string, PeerUse>();
  readonly #digests: FollowedDigests<AppliedDigest>;
  /** Quota consumed by peers of this failure domain, by team, as received in their reports. */
  readonly #takenInDomain = new Map<string, number>();
  #ownReports: readonly OwnReport[] = [];
  #sequence = 0;

  constructor(options: PeerStateSyncOptions) {
    this.#options = options;
    this.#digests = new FollowedDigests(options.timing);
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
    const cold = this.#options.limits.cold.own;
    const brittle = this.#options.brittle.report;
    const speeds = this.#options.speeds.takeReport();
    const leaving = this.#leaving();
    const reach = this.#reach();
    const work = encodeWork(loadTracker.own);
    const taken = new Map(quota.taken);
    this.#ownReports = [
      ...this.#ownReports.slice(1 - KEPT_REPORTS),
      { sequence: this.#sequence, work, taken },
    ];
    return {
      node,
      host: address.host,
      port: address.port,
      failureDomain,
      life,
      configuration: this.#options.configurationVersion(),
      sequence: this.#sequence,
      now: Math.round(now),
      work,
      taken: Object.fromEntries(taken),
      readsLocalDigests: true,
      readsCompressed: true,
      keepsHomeRegions: true,
      ...(includesTotals ? this.#totals(now) : { usage: {}, demand: {} }),
      ...(limits.length > 0 ? { limits } : {}),
      ...(cold.length > 0 ? { cold } : {}),
      ...(brittle ? { brittle } : {}),
      ...(speeds ? { speeds } : {}),
      listReadMs: Math.round(this.#options.directory.readableMs),
      ...(leaving.length > 0 ? { leaving } : {}),
      ...reach,
      ...(prompts ? { prompts } : {}),
      ...(this.#options.quotaExchange.isAsking ? { asksQuotaLevels: true } : {}),
      duty: dutyToken(),
      isLeaving,
    };
  }

  /** Summarizes this node's view of its failure domain. */
  createDigest(members: DomainDigest['members']): DomainDigest {
    const { node, failureDomain, incarnation: life, loadTracker, quota } = this.#options;
    const { disciplinedClock } = this.#options;
    this.#sequence += 1;
    const taken = new Map(quota.taken);
    for (const [team, total] of this.#takenInDomain)
      taken.set(team, (taken.get(team) ?? 0) + total);
    const limits = this.#options.limits.ofDomain;
    const cold = this.#options.limits.cold.ofDomain;
    const brittle = this.#options.brittle.domainReport;
    const speeds = this.#options.speeds.takeDigest(Object.keys(members));
    const leaving = this.#leaving();
    const prompts = this.#options.quarantine.evidenceOver(new Set(Object.keys(members)));
    return {
      relay: node,
      failureDomain,
      life,
      configuration: this.#options.configurationVersion(),
      sequence: this.#sequence,
      now: Math.round(disciplinedClock.now()),
      members,
      work: encodeWork(loadTracker.totalOver(new Set(Object.keys(members)))),
      taken: Object.fromEntries(taken),
      ...(limits.length > 0 ? { limits } : {}),
      ...(cold.length > 0 ? { cold } : {}),
      ...(brittle ? { brittle } : {}),
      ...(speeds ? { speeds } : {}),
      listReadMs: Math.round(this.#options.directory.readableMs),
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
    const earlier = decodeEarlierDemand(report);
    for (const [service, [requests, promptTokens, outputTokens]] of Object.entries(report.demand)) {
      const total = { requests, promptTokens, outputTokens };
      demand.setTotal(incarnation, service, total, earlier.get(service));
    }
    this.#options.rollouts.setPeerEvidence(incarnation, report.outcomes);
    this.#options.limits.setPeerLimits(report.limits ?? []);
    this.#options.limits.cold.setPeerStatements(report.cold ?? []);
    this.#options.brittle.setPeerReport(incarnation, report.brittle);
    this.#options.directory.recordReadElsewhere(report.listReadMs ?? 0);
    this.#applyLeaving(report.leaving ?? [], report.node);
    this.#applyReach(report);
    const { host, port } = report;
    this.#options.onPeerConfiguration(report.configuration ?? 0, { host, port });
    if (report.asksQuotaLevels) this.#answer(report);
    this.#options.quarantine.setPeerEvidence(
      { node: report.node, incarnation: String(report.life) },
      report.prompts,
    );
    if (this.#isCoveredByDigest(report.failureDomain)) {
      this.#takenByPeer.delete(report.node);
      this.#options.speeds.forgetPeer(report.node);
      return;
    }
    this.#options.speeds.forgetDomain(report.failureDomain);
    if (report.speeds) this.#options.speeds.setPeer(report.node, report.speeds);
    loadTracker.setPeerWork(report.node, decodeWork(report), this.#options.timing().workTtlMs);
    const previousTotals = this.#previousTotals(report, isFirst);
    const taken = new Map(Object.entries(report.taken));
    this.#takenByPeer.set(report.node, { incarnation: report.life, taken });
    const isLocal = report.failureDomain === failureDomain;
    this.#applyQuotaUse(previousTotals, taken, isLocal ? this.#takenInDomain : undefined);
  }

  /**
   * Applies the answer of a peer: what was left by all reports, and what the peer has used since its own
   * last one. The first report of the peer counts from there.
   */
  applyQuotaLevels(answer: QuotaLevels): void {
    const { quotaExchange, clock, failureDomain } = this.#options;
    if (!quotaExchange.receive(answer)) return;
    const { node, life } = answer;
    const known = this.#takenByPeer.get(node);
    const taken = new Map(Object.entries(answer.taken));
    const reported = new Map([...taken, ...Object.entries(answer.reported)]);
    const previousTotals = known?.incarnation === life ? known.taken : reported;
    const isLocal = answer.failureDomain === failureDomain;
    this.#applyQuotaUse(previousTotals, taken, isLocal ? this.#takenInDomain : undefined);
    const answeredAt = clock.monotonic();
    this.#takenByPeer.set(node, { incarnation: life, taken, answeredAt });
  }

  /** Applies the digest of a failure domain. Only one of its relays is followed at a time. */
  applyDigest(digest: DomainDigest): void {
    const { loadTracker, clock, disciplinedClock } = this.#options;
    const { relay, life: incarnation, failureDomain } = digest;
    const { workTtlMs } = this.#options.timing();
    const own = digest.heard && this.#ownReportIn(digest.heard);
    const others = withoutOwn(decodeWork(digest), own);
    loadTracker.setPeerWork(domainKey(failureDomain), others, workTtlMs);
    if (digest.now !== undefined) disciplinedClock.addPeerTime(relay, digest.now);
    this.#options.limits.setDomainLimits(digest.limits ?? []);
    this.#options.limits.cold.setDomainStatements(digest.cold ?? []);
    this.#options.brittle.setDomainReport(digest.brittle);
    this.#options.directory.recordReadElsewhere(digest.listReadMs ?? 0);
    this.#applyLeaving(digest.leaving ?? [], digest.relay);
    const [host, port] = digest.members[relay] ?? [];
    if (host !== undefined && port !== undefined) {
      this.#options.onPeerConfiguration(digest.configuration ?? 0, { host, port });
    }
    this.#applySpeeds(digest, own);
    // Within a domain each node sends what it knows of prompts itself.
    if (!digest.heard) {
      this.#options.quarantine.setPeerEvidence(
        { node: domainKey(failureDomain), incarnation: `${relay} ${incarnation}` },
        digest.prompts,
      );
    }
    const taken = new Map(Object.entries(digest.taken));
    const applied = { relay, incarnation, at: clock.monotonic(), taken, own };
    const before = this.#digests.record(failureDomain, applied);
    if (!before) return;
    if (own && before.own) this.#applyUseOfOthers(before, { taken, own });
    else if (!own && !before.own) this.#applyQuotaUse(before.taken, taken, undefined);
  }

  /** A relay has the reports of its own failure domain themselves. */
  #applySpeeds({ failureDomain, members, speeds }: DomainDigest, own: OwnReport | undefined): void {
    if (failureDomain === this.#options.failureDomain && this.#options.isRelay()) return;
    for (const node of Object.keys(members)) this.#options.speeds.forgetPeer(node);
    if (!speeds) return;
    const includesOwn = own !== undefined && own !== NOTHING_REPORTED;
    this.#options.speeds.setDomain({ failureDomain, speeds, includesOwn });
  }

  /** The report of this node that a digest is based on. */
  #ownReportIn(heard: NonNullable<DomainDigest['heard']>): OwnReport {
    const { node, incarnation } = this.#options;
    const [life, sequence] = heard[node] ?? [];
    if (life !== incarnation) return NOTHING_REPORTED;
    return this.#ownReports.find((report) => report.sequence === sequence) ?? NOTHING_REPORTED;
  }

  /** Subtracts the quota that the others of the failure domain have consumed between two digests. */
  #applyUseOfOthers(
    before: { readonly taken: ReadonlyMap<string, number>; readonly own: OwnReport | undefined },
    { taken, own }: { readonly taken: ReadonlyMap<string, number>; readonly own: OwnReport },
  ): void {
    if (before.own === NOTHING_REPORTED || own === NOTHING_REPORTED) return;
    for (const [team, total] of taken) {
      const ownUse = (own.taken.get(team) ?? 0) - (before.own?.taken.get(team) ?? 0);
      const consumed = total - (before.taken.get(team) ?? 0) - ownUse;
      // Where the relay has not counted an own use, it is not given back.
      const isRefund = consumed < 0 && ownUse <= 0;
      if (consumed > 0 || isRefund) this.#options.quota.recordPeerUsage(team, consumed);
    }
  }

  /** Tells a peer that has just started what is left of the teams' limits. */
  #answer(report: NodeReport): void {
    const { node, failureDomain, incarnation: life, quota, quotaExchange } = this.#options;
    const reported = this.#ownReports.at(-1)?.taken ?? NOTHING_TAKEN;
    const levels = quotaExchange.levelsFor(this.#appliedUseOf(report), reported);
    if (!levels) return;
    const { taken } = quota;
    const unreported = [...taken].filter(([team, total]) => reported.get(team) !== total);
    const { host, port } = report;
    this.#options.peers().sendQuotaLevels(
      {
        node,
        failureDomain,
        life,
        levels: Object.fromEntries(levels),
        taken: Object.fromEntries(taken),
        reported: Object.fromEntries(unreported.map(([team]) => [team, reported.get(team) ?? 0])),
      },
      { host, port },
    );
  }

  /** What of a peer's use has been deducted already. */
  #appliedUseOf({ node, life }: NodeReport): ReadonlyMap<string, number> {
    const known = this.#takenByPeer.get(node);
    return known?.incarnation === life ? known.taken : NOTHING_TAKEN;
  }

  /**
   * Totals up to which a peer's use has been deducted, or was consumed out of its own share. All that
   * a peer has consumed that has just started is new. Of a peer whose answer came before its first
   * report the totals of that answer count.
   */
  #previousTotals(
    { node, life, asksQuotaLevels }: NodeReport,
    isFirst: boolean,
  ): ReadonlyMap<string, number> | undefined {
    const known = this.#takenByPeer.get(node);
    const isKnown = known?.incarnation === life;
    if (isFirst && asksQuotaLevels && !isKnown) return NOTHING_TAKEN;
    const { clock, timing } = this.#options;
    const answeredAt = isKnown ? known.answeredAt : undefined;
    const hasAnswered =
      answeredAt !== undefined && clock.monotonic() - answeredAt < timing().peerTimeoutMs;
    return isFirst && !hasAnswered ? undefined : known?.taken;
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

  #applyReach(report: NodeReport): void {
    const { node, work, outOfReach = [], reached = [], keepsHomeRegions = false } = report;
    const reach = this.#options.reach();
    const links = this.#options.links();
    const lost = outOfReach.map(([id, bornMs]) => incarnationOf({ id, bornMs }));
    const known = reach.of(node).outOfReach;
    reach.setPeer(node, {
      requests: Object.values(work).reduce((sum, [requests]) => sum + requests, 0),
      outOfReach: new Set(lost),
      keepsHomeRegions,
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

  /** The work and the quota in reports of a failure domain are part of its digests as well. */
  #isCoveredByDigest(failureDomain: string): boolean {
    const { clock, loadTracker, timing, isRelay } = this.#options;
    const lastAt = this.#digests.lastAt(failureDomain);
    if (lastAt === undefined) return false;
    if (failureDomain === this.#options.failureDomain && isRelay()) {
      this.#digests.forget(failureDomain);
      loadTracker.setPeerWork(domainKey(failureDomain), new Map(), 0);
      return false;
    }
    return clock.monotonic() - lastAt < timing().relayTimeoutMs;
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

  #totals(now: number): Pick<NodeReport, 'usage' | 'demand' | 'earlierDemand' | 'outcomes'> {
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
      earlierDemand: Object.fromEntries(
        [...demand.ownEarlier].map(([service, { agoMs, total }]) => [
          service,
          [Math.round(agoMs), total.requests, total.promptTokens, total.outputTokens],
        ]),
      ),
    };
  }
}

function domainKey(failureDomain: string): string {
  return `domain ${failureDomain}`;
}

/** Subtracts what this node has reported from the work of its failure domain. */
function withoutOwn(
  byRunner: ReadonlyMap<string, RunnerWork>,
  own: OwnReport | undefined,
): ReadonlyMap<string, RunnerWork> {
  if (!own) return byRunner;
  const others = new Map(byRunner);
  for (const [runner, [requests, prefillTokens, kvTokens]] of Object.entries(own.work)) {
    const total = others.get(runner);
    if (!total) continue;
    others.set(runner, {
      requests: Math.max(0, total.requests - requests),
      prefillTokens: Math.max(0, total.prefillTokens - prefillTokens),
      kvTokens: Math.max(0, total.kvTokens - kvTokens),
    });
  }
  return others;
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

function decodeEarlierDemand({
  earlierDemand = {},
}: NodeReport): ReadonlyMap<string, { readonly agoMs: number; readonly total: Demand }> {
  return new Map(
    Object.entries(earlierDemand).map(
      ([service, [agoMs, requests, promptTokens, outputTokens]]) => [
        service,
        { agoMs, total: { requests, promptTokens, outputTokens } },
      ],
    ),
  );
}
