import type { RunnerDirectory, RunnerEntry, Service } from '@ragwortrudder/catalog';
import type { Clock, Closeable, Random } from '@ragwortrudder/core';
import { RunnerRests } from '@ragwortrudder/admission';
import type { BrittleRunners, StatedLimits } from '@ragwortrudder/admission';
import {
  drawCandidates,
  excludeUnreachableDomains,
  OutlierDetector,
  PrefillRate,
  rendezvousFirst,
} from '@ragwortrudder/routing';
import type {
  EvacuatedDomains,
  HomeRegions,
  PlacementCandidate,
  RunnerSpeeds,
} from '@ragwortrudder/routing';
import { ABORT_REASONS } from '../utils/abort-reasons.ts';
import type { RunnerLoad } from '../types/runner-load.ts';
import { coldWaitMs } from '../utils/cold-wait-ms.ts';
import { incarnationOf } from '../utils/incarnation-of.ts';
import type { RunnerLoadTracker } from '../utils/runner-load-tracker.ts';
import type { DecisionLog } from './decision-log.ts';
import { RunnerAgent } from './runner-agent.ts';
import { RunnerLinks } from './runner-links.ts';

interface RunnerPoolOptions {
  readonly directory: RunnerDirectory;
  readonly evacuated: Pick<EvacuatedDomains, 'isEmpty' | 'has'>;
  readonly loadTracker: RunnerLoadTracker;
  readonly limits: StatedLimits;
  readonly brittle: BrittleRunners;
  readonly speeds: RunnerSpeeds;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Called when a runner said for the first time that it is leaving. */
  readonly onLeaving: () => void;
  /** Called when this node's link to a runner was lost or is back. */
  readonly onLinksChanged: () => void;
  /** Number of nodes that share the runners' connections. */
  readonly nodeCount: () => number;
}

interface CandidateQuery {
  /** @default all */
  readonly isAllowed?: (entry: RunnerEntry) => boolean;
  /**
   * The request may be sent where it may get lost.
   * @default false
   */
  readonly isRepeatable?: boolean;
  /**
   * Only connections that are open are used, also those that may be lost.
   * @default false
   */
  readonly usesOpen?: boolean;
  /** Of many runners with known speeds only a few are examined; undefined: all are. */
  readonly sampling?: Sampling;
}

interface Sampling {
  readonly random: Random;
  /** Session whose home runner is examined in any case; empty when there is none. */
  readonly session: string;
  /** Runner that is examined in any case. */
  readonly lastRunner: string | undefined;
}

interface CandidateDraw {
  readonly sampling: Sampling;
  /** Decides which runner is the home of a session. */
  readonly isUsable: (entry: RunnerEntry) => boolean;
  /** The runner has room for a request at the moment. */
  readonly mayTake: (entry: RunnerEntry) => boolean;
}

/** Duration of a response. */
interface ResponseTime {
  readonly route: string;
  readonly tookMs: number;
  /** Expected time at a runner of usual speed, in milliseconds. */
  readonly usualMs: number;
}

interface PooledRunner {
  readonly entry: RunnerEntry;
  readonly agent: RunnerAgent;
  /** Moving average of measured to expected latency; compared with the other runners of the service. */
  readonly latencyRatio: number;
  readonly unreachableUntil: number;
  readonly unreachableTimes: number;
  /** It was marked as unreachable because it sent nothing, and has sent nothing since. */
  readonly isSilent: boolean;
}

const OUTLIER_OPTIONS = {
  maxConsecutiveFailures: 3,
  baseEjectionMs: 1_000,
  maxEjectionMs: 8_000,
  trialPeriodMs: 300,
  trials: 2,
  maxEjectedShare: 0.5,
} as const;
/**
 * Initial time for which an unreachable runner is avoided, in milliseconds; doubles up to
 * `MAX_UNREACHABLE_MS`.
 */
const UNREACHABLE_MS = 400;
const MAX_UNREACHABLE_MS = 3_200;
/** Silence that a sound runner may keep, in milliseconds. */
const MAX_SOUND_SILENCE_MS = 2_000;
/** Weight of a new measurement in the moving average. */
const RATIO_GAIN = 0.1;
const MIN_RATIO = 0.2;
const MAX_RATIO = 8;
/** Number of runners of a service up to which all are examined for a request. */
const MAX_EXAMINED = 8;
/** Number of runners drawn for a request where not all are examined. */
const DRAWN = 4;
/** Slowness up to which a runner that was drawn is always taken. */
const DRAWN_SLOWNESS = 0.5;
/** Overhead in a response time that is not due to the runner's speed, in milliseconds. */
const SPEED_OVERHEAD_MS = 10;
const MIN_CONNECTIONS = 4;
/** Fraction of a runner's connections that is divided among the nodes; the rest absorbs uneven use. */
const CONNECTION_SHARE = 0.9;
const DEFAULT_CONNECTIONS = 256;

function endpointKey({ id, address }: RunnerEntry): string {
  return `${id}@${address.host}:${address.port}`;
}

function medianOf(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 1;
}

/** Runners as observed by this node: connections, reachability, failures and latency. */
export class RunnerPool implements Closeable {
  readonly links: RunnerLinks;
  readonly #options: RunnerPoolOptions;
  readonly #runners = new Map<string, PooledRunner>();
  readonly #prefillRates = new Map<string, PrefillRate>();
  /** By incarnation: an earlier life of a runner may still send. */
  readonly #progressAt = new Map<string, number>();
  readonly #detectors = new Map<string, OutlierDetector>();
  readonly #rests: RunnerRests;
  /** Monotonic time until which some runner may be marked as unreachable, in milliseconds. */
  #unreachableUntil = 0;

  constructor(options: RunnerPoolOptions) {
    this.#options = options;
    this.#rests = new RunnerRests(options.clock);
    this.links = new RunnerLinks({
      directory: options.directory,
      clock: options.clock,
      log: options.log,
      lastProgressAt: (entry) => this.lastProgressAt(entry),
      isEvacuated: (entry) => this.isEvacuated(entry),
      isInUse: ({ id }) => (options.loadTracker.own.get(id)?.requests ?? 0) > 0,
      closeIdle: (entry) => {
        this.#knownRunner(entry)?.agent.closeIdle();
      },
      onChange: options.onLinksChanged,
    });
  }

  /** Runners of a service that can accept a request now, among those that `isAllowed` lets pass. */
  candidates(
    service: Service,
    {
      isAllowed = () => true,
      isRepeatable = false,
      usesOpen = false,
      sampling,
    }: CandidateQuery = {},
  ): readonly PlacementCandidate[] {
    const now = this.#options.clock.monotonic();
    const detector = this.#detectorOf(service.name);
    const listed = this.#servingOf(service.name);
    const mayTake = (entry: RunnerEntry): boolean =>
      this.#isWithinLimit(entry) &&
      !this.#isResting(entry) &&
      this.#hasRoom(entry, service) &&
      this.#hasConnectionLeft(entry.id, service);
    const knowsSpeeds = this.#options.speeds.appliesTo(service.name);
    if (knowsSpeeds && sampling && !usesOpen && this.#areAllReachable(now)) {
      const isUsable = (entry: RunnerEntry): boolean =>
        isAllowed(entry) && !detector.isEjected(entry.id, now);
      const drawn = this.#drawn(listed, service, { sampling, isUsable, mayTake });
      if (drawn.length > 0) return drawn;
    }
    const entries = listed.filter(isAllowed);
    const reachable = excludeUnreachableDomains(
      entries,
      (entry) => !this.#isReachable(entry, { isRepeatable, usesOpen }, now),
    );
    const hopeful =
      reachable.length === 0 && isRepeatable && !usesOpen
        ? entries.filter((entry) => this.#mayOnlyBeSilent(entry))
        : reachable;
    const healthy = hopeful.filter(({ id }) => !detector.isEjected(id, now));
    const usable = healthy.length > 0 ? healthy : hopeful;
    if (knowsSpeeds && sampling) {
      return this.#drawn(usable, service, { sampling, isUsable: () => true, mayTake });
    }
    if (knowsSpeeds) {
      return usable
        .filter(mayTake)
        .map((entry) => this.#candidateOf(entry, service, this.#slownessOf(entry)));
    }
    const median = medianOf(usable.map((entry) => this.#runnerOf(entry).latencyRatio));
    return usable
      .filter(mayTake)
      .map((entry) =>
        this.#candidateOf(entry, service, this.#runnerOf(entry).latencyRatio / median),
      );
  }

  /** Measured prefill rate of the engines of a service. */
  prefillRate(service: string): PrefillRate {
    const known = this.#prefillRates.get(service);
    if (known) return known;
    const rate = new PrefillRate();
    this.#prefillRates.set(service, rate);
    return rate;
  }

  agentOf(entry: RunnerEntry): RunnerAgent {
    return this.#runnerOf(entry).agent;
  }

  /** Connections for one request alone, for when those that are open may be lost without a sign so far. */
  newAgent(): RunnerAgent {
    const agent = new RunnerAgent({ maxSockets: 1 });
    agent.retire();
    return agent;
  }

  /** Records that a request is being sent. */
  recordSend(entry: RunnerEntry): void {
    this.#options.limits.take(incarnationOf(entry));
    this.links.recordSent(entry);
    this.#detectorOf(entry.service).recordSent(entry.id, this.#options.clock.monotonic());
  }

  /** Records the load that a runner reported in a response. */
  recordLoad(entry: RunnerEntry, load: RunnerLoad): void {
    const { loadTracker, speeds, log } = this.#options;
    loadTracker.setReportedLoad(entry.id, load);
    if (load.slowness !== undefined) {
      speeds.recordMomentary(entry.service, incarnationOf(entry), load.slowness);
    }
    if (load.hasInvalidSlowness) {
      log.rejected({ topic: 'runner-load', key: entry.id, cause: 'invalid momentary speed' });
    }
  }

  /** Records a successful response, with the ratio of measured to expected latency. */
  recordSuccess(entry: RunnerEntry, ratio: number, time: ResponseTime): void {
    this.#recordSpeed(entry, time);
    const runner = this.#knownRunner(entry);
    const bounded = Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
    if (runner) {
      this.#runners.set(entry.id, {
        ...runner,
        latencyRatio: runner.latencyRatio + RATIO_GAIN * (bounded - runner.latencyRatio),
        unreachableUntil: 0,
        unreachableTimes: 0,
        isSilent: false,
      });
    }
    this.#record(entry, { ok: true, latencyMs: ratio });
  }

  /** Records the limit of requests that a runner states in a response. */
  recordStatedLimit(entry: RunnerEntry, perSecond: number | undefined): void {
    this.#options.limits.record(incarnationOf(entry), perSecond);
  }

  /** Records the remaining cold time that a runner states in a response. */
  recordCold(entry: RunnerEntry, coldMs: number | undefined): void {
    this.#options.limits.cold.record(incarnationOf(entry), coldMs);
  }

  /** Records how many rejections in a second a runner says in a response that it bears. */
  recordBrittle(entry: RunnerEntry, perSecond: number | undefined): void {
    this.#options.brittle.record(incarnationOf(entry), perSecond);
  }

  /** Records that a runner had no room for a request. */
  recordRejection(entry: RunnerEntry, load: RunnerLoad | undefined): void {
    const { brittle, loadTracker } = this.#options;
    if (brittle.isEmpty) return;
    const occupied = load ? load.running + load.waiting : loadTracker.workAt(entry.id).requests - 1;
    brittle.recordRejection(incarnationOf(entry), occupied);
  }

  /** Records that a runner turned a request away and wants nothing from this node for a time. */
  recordRest(entry: RunnerEntry, forMs: number): void {
    if (!this.#rests.record(incarnationOf(entry), forMs)) return;
    this.#options.log.notable('runner-rests', { runner: entry.id, bornMs: entry.bornMs, forMs });
  }

  /** Records that a runner took a request. */
  recordTaken(entry: RunnerEntry): void {
    this.#rests.recordTaken(incarnationOf(entry));
  }

  /** Time until the first rest of a service's runners ends, in milliseconds; undefined unless all rest. */
  restMs(service: string): number | undefined {
    if (this.#rests.isEmpty) return undefined;
    const remaining = this.#servingOf(service).map((entry) =>
      this.#rests.remainingMs(incarnationOf(entry)),
    );
    const firstMs = Math.min(...remaining);
    return Number.isFinite(firstMs) && firstMs > 0 ? firstMs : undefined;
  }

  /**
   * Time until a cold runner of a service may get a request, in milliseconds; undefined unless all its
   * runners are cold.
   */
  coldWaitMs(service: string): number | undefined {
    const { limits } = this.#options;
    if (limits.cold.isEmpty) return undefined;
    return coldWaitMs(this.#servingOf(service).map(incarnationOf), limits);
  }

  /** Number of runners that have asked this node for rest. */
  countResting(entries: readonly RunnerEntry[]): number {
    return entries.filter((entry) => this.#rests.remainingMs(incarnationOf(entry)) > 0).length;
  }

  /** Records that a runner said in a response that it is leaving. */
  recordLeaving({ id, bornMs, isDraining }: RunnerEntry): void {
    const { directory, log, onLeaving } = this.#options;
    if (!directory.markLeaving({ id, bornMs })) return;
    log.notable('runner-leaving', { runner: id, bornMs, isListedAsDraining: isDraining });
    onLeaving();
  }

  /**
   * The operator has evacuated the failure domain of a runner. Called for each runner and request, so that
   * it costs nothing while no domain is evacuated.
   */
  isEvacuated({ failureDomain }: RunnerEntry): boolean {
    const { evacuated } = this.#options;
    return !evacuated.isEmpty && evacuated.has(failureDomain);
  }

  /** A runner is brittle or was until recently. */
  get hasBrittle(): boolean {
    return !this.#options.brittle.isEmpty;
  }

  /** Number of runners that may get no request from this node now, because they are brittle. */
  countWithoutRoom(entries: readonly RunnerEntry[], service: Service): number {
    return entries.filter((entry) => !this.#hasRoom(entry, service)).length;
  }

  /** Number of runners that may get no request from this node now, because of the limits they state. */
  countLimited(entries: readonly RunnerEntry[]): number {
    return entries.filter((entry) => !this.#isWithinLimit(entry)).length;
  }

  /** Number of runners that are cold and have a limit while they are. */
  countCold(entries: readonly RunnerEntry[]): number {
    const { cold } = this.#options.limits;
    if (cold.isEmpty) return 0;
    return entries.filter((entry) => cold.limitOf(incarnationOf(entry)) !== undefined).length;
  }

  /** Records that bytes have arrived from a runner; one that was only silent may be used again. */
  recordProgress(entry: RunnerEntry): void {
    this.#progressAt.set(incarnationOf(entry), this.#options.clock.monotonic());
    const runner = this.#knownRunner(entry);
    if (!runner?.isSilent) return;
    this.#runners.set(entry.id, { ...runner, isSilent: false, unreachableUntil: 0 });
    this.#options.log.notable('runner-heard', { runner: entry.id });
  }

  /** Monotonic time at which bytes last arrived from a runner, in milliseconds. */
  lastProgressAt(entry: RunnerEntry): number {
    return this.#progressAt.get(incarnationOf(entry)) ?? 0;
  }

  /** Time since bytes last arrived from a runner, in milliseconds. */
  silentMs(entry: RunnerEntry): number {
    return this.#options.clock.monotonic() - this.lastProgressAt(entry);
  }

  /** Records that a runner failed a request. */
  recordFailure(entry: RunnerEntry): void {
    this.#record(entry, { ok: false });
  }

  /** Records that a runner could not be connected to or stopped sending. */
  markUnreachable(entry: RunnerEntry, reason: string): void {
    const runner = this.#knownRunner(entry);
    const now = this.#options.clock.monotonic();
    if (!runner || runner.unreachableUntil > now) return;
    const times = runner.unreachableTimes + 1;
    const forMs = Math.min(MAX_UNREACHABLE_MS, UNREACHABLE_MS * 2 ** (times - 1));
    this.#unreachableUntil = Math.max(this.#unreachableUntil, now + forMs);
    this.#runners.set(entry.id, {
      ...runner,
      unreachableTimes: times,
      unreachableUntil: now + forMs,
      isSilent: reason === ABORT_REASONS.silent,
    });
    this.#options.log.notable('runner-unreachable', { runner: entry.id, reason, forMs });
  }

  /**
   * Listed runners of a service that could serve requests with these home regions, and those among them
   * that this node cannot reach.
   */
  reachOf(
    service: string,
    home?: HomeRegions,
  ): {
    readonly runners: readonly string[];
    readonly lost: ReadonlySet<string>;
    readonly lostIds: ReadonlySet<string>;
  } {
    const entries = this.#servingOf(service).filter(
      ({ failureDomain }) => home?.allowsRunner(failureDomain) !== false,
    );
    const lost = entries.filter((entry) => this.links.isLost(entry));
    return {
      runners: entries.map(incarnationOf),
      lost: new Set(lost.map(incarnationOf)),
      lostIds: new Set(lost.map(({ id }) => id)),
    };
  }

  /** Peers reach a runner of the service that this node has lost its link to. */
  hasOwnFault(service: string): boolean {
    return this.#options.directory
      .ofService(service)
      .some((entry) => !this.isEvacuated(entry) && this.links.isOwnFault(entry));
  }

  /** Removes runners that are no longer listed, and probes links. */
  prune(): void {
    this.links.update();
    const { directory, loadTracker, limits, brittle, speeds } = this.#options;
    const listed = new Map(directory.all().map((entry) => [entry.id, entry]));
    for (const [id, { agent }] of this.#runners) {
      if (listed.has(id)) continue;
      this.#runners.delete(id);
      agent.retire();
    }
    const incarnations = new Set([...listed.values()].map(incarnationOf));
    for (const key of this.#progressAt.keys()) {
      if (!incarnations.has(key)) this.#progressAt.delete(key);
    }
    loadTracker.retain(new Set(listed.keys()));
    if (!this.#rests.isEmpty) this.#rests.prune(incarnations);
    if (!limits.isEmpty) limits.retain(incarnations);
    if (!speeds.isEmpty) {
      speeds.retain(incarnations, new Set([...listed.values()].map(({ service }) => service)));
    }
    if (!brittle.isEmpty) brittle.setListed(this.#incarnationsByService(listed.values()));
    for (const [service, detector] of this.#detectors) {
      detector.setRunners(directory.ofService(service).map(({ id }) => id));
    }
  }

  async close(): Promise<void> {
    await this.links.close();
    for (const { agent } of this.#runners.values()) agent.destroy();
    this.#runners.clear();
  }

  /** Listed runners of a service that new requests may be sent to. */
  #servingOf(service: string): readonly RunnerEntry[] {
    return this.#options.directory
      .ofService(service)
      .filter((entry) => !entry.isDraining && !this.isEvacuated(entry));
  }

  #incarnationsByService(entries: Iterable<RunnerEntry>): ReadonlyMap<string, readonly string[]> {
    const byService = new Map<string, string[]>();
    for (const entry of entries) {
      const known = byService.get(entry.service) ?? [];
      byService.set(entry.service, [...known, incarnationOf(entry)]);
    }
    return byService;
  }

  #isReachable(
    entry: RunnerEntry,
    { isRepeatable, usesOpen }: Required<Pick<CandidateQuery, 'isRepeatable' | 'usesOpen'>>,
    now: number,
  ): boolean {
    const { agent, unreachableUntil } = this.#runnerOf(entry);
    if (unreachableUntil > now) return false;
    if (usesOpen && !agent.hasIdle) return false;
    if (!this.links.isLost(entry)) return true;
    return agent.hasIdle && this.links.mayUseOpen(entry, { isRepeatable, mayBeCut: usesOpen });
  }

  /** The runner is avoided for its silence alone, which a sound runner may keep for a second or so. */
  #mayOnlyBeSilent(entry: RunnerEntry): boolean {
    const { isSilent } = this.#runnerOf(entry);
    return isSilent && !this.links.isLost(entry) && this.silentMs(entry) < MAX_SOUND_SILENCE_MS;
  }

  /** Called for each runner and request, so that it costs nothing while no runner states a limit. */
  #isWithinLimit(entry: RunnerEntry): boolean {
    const { limits } = this.#options;
    return limits.isEmpty || limits.mayTake(incarnationOf(entry));
  }

  /** Called for each runner and request, so that it costs nothing while no runner is brittle. */
  #hasRoom(entry: RunnerEntry, service: Service): boolean {
    const { brittle, loadTracker } = this.#options;
    if (brittle.isEmpty) return true;
    return brittle.mayTake({
      runner: incarnationOf(entry),
      service: entry.service,
      slots: service.engine?.slots ?? entry.slots,
      own: loadTracker.own.get(entry.id)?.requests ?? 0,
      total: loadTracker.workAt(entry.id).requests,
    });
  }

  /** Called for each runner and request, so that it costs nothing while no runner rests. */
  #isResting(entry: RunnerEntry): boolean {
    if (this.#rests.isEmpty) return false;
    const inProgress = this.#options.loadTracker.own.get(entry.id)?.requests ?? 0;
    return !this.#rests.mayTake(incarnationOf(entry), inProgress);
  }

  /** Spares requests the check of each runner while nothing is wrong with any. */
  #areAllReachable(now: number): boolean {
    return now >= this.#unreachableUntil && !this.links.hasLost;
  }

  /** A few runners by their speed, and those that may hold the prefix of the session. */
  #drawn(
    entries: readonly RunnerEntry[],
    service: Service,
    { sampling, isUsable, mayTake }: CandidateDraw,
  ): readonly PlacementCandidate[] {
    if (entries.length <= MAX_EXAMINED) {
      return entries
        .filter((entry) => isUsable(entry) && mayTake(entry))
        .map((entry) => this.#candidateOf(entry, service, this.#slownessOf(entry)));
    }
    const { random, session, lastRunner } = sampling;
    const home = session === '' ? undefined : rendezvousFirst(session, entries, isUsable);
    const last = lastRunner === undefined ? undefined : entries.find(({ id }) => id === lastRunner);
    return drawCandidates({
      items: entries,
      kept: [home, last].filter((entry) => entry !== undefined),
      count: DRAWN,
      weightOf: (entry) => Math.min(1, DRAWN_SLOWNESS / this.#slownessOf(entry)),
      isUsable: (entry) => isUsable(entry) && mayTake(entry),
      random,
    }).map((entry) => ({
      ...this.#candidateOf(entry, service, this.#slownessOf(entry)),
      isHome: entry === home,
    }));
  }

  #slownessOf(entry: RunnerEntry): number {
    return this.#options.speeds.slownessOf(incarnationOf(entry));
  }

  #recordSpeed(entry: RunnerEntry, { route, tookMs, usualMs }: ResponseTime): void {
    const { speeds } = this.#options;
    if (!speeds.appliesTo(entry.service)) return;
    const ratio = (tookMs + SPEED_OVERHEAD_MS) / (usualMs + SPEED_OVERHEAD_MS);
    speeds.record({ service: entry.service, runner: incarnationOf(entry), kind: route, ratio });
  }

  #candidateOf(entry: RunnerEntry, service: Service, slowness: number): PlacementCandidate {
    const work = this.#options.loadTracker.workAt(entry.id);
    return {
      id: entry.id,
      failureDomain: entry.failureDomain,
      slots: service.engine?.slots ?? entry.slots,
      inFlight: work.requests,
      prefillTokens: work.prefillTokens,
      kvTokens: work.kvTokens,
      kvCapacityTokens: service.engine?.kvCapacityTokens ?? 0,
      slowness,
    };
  }

  #hasConnectionLeft(id: string, service: Service): boolean {
    const own = this.#options.loadTracker.own.get(id)?.requests ?? 0;
    return own < this.#connectionsFor(service.maxConnections);
  }

  #connectionsFor(maxConnections: number): number {
    const limit = maxConnections > 0 ? maxConnections : DEFAULT_CONNECTIONS;
    return Math.max(
      MIN_CONNECTIONS,
      Math.floor((limit * CONNECTION_SHARE) / Math.max(1, this.#options.nodeCount())),
    );
  }

  #record(
    entry: RunnerEntry,
    outcome: { readonly ok: boolean; readonly latencyMs?: number },
  ): void {
    const now = this.#options.clock.monotonic();
    const isEjected = this.#detectorOf(entry.service).record(entry.id, outcome, now);
    if (!isEjected) return;
    this.#options.log.notable('runner-set-aside', { runner: entry.id, service: entry.service });
  }

  #detectorOf(service: string): OutlierDetector {
    const known = this.#detectors.get(service);
    if (known) return known;
    const detector = new OutlierDetector(OUTLIER_OPTIONS);
    detector.setRunners(this.#options.directory.ofService(service).map(({ id }) => id));
    this.#detectors.set(service, detector);
    return detector;
  }

  /** What is known of a runner; undefined if another one has its id by now. */
  #knownRunner(entry: RunnerEntry): PooledRunner | undefined {
    const runner = this.#runners.get(entry.id);
    if (!runner || endpointKey(runner.entry) !== endpointKey(entry)) return undefined;
    return runner.entry.bornMs === entry.bornMs ? runner : undefined;
  }

  #runnerOf(entry: RunnerEntry): PooledRunner {
    const known = this.#knownRunner(entry);
    if (known) return known;
    this.#runners.get(entry.id)?.agent.retire();
    const runner: PooledRunner = {
      entry,
      agent: new RunnerAgent({ maxSockets: Infinity }),
      latencyRatio: 1,
      unreachableUntil: 0,
      unreachableTimes: 0,
      isSilent: false,
    };
    this.#runners.set(entry.id, runner);
    return runner;
  }
}
