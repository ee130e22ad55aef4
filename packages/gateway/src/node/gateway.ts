import { PromptQuarantine, RetryBudget } from '@ragwortrudder/admission';
import { RunnerDirectory } from '@ragwortrudder/catalog';
import type { Configuration } from '@ragwortrudder/catalog';
import { PeriodicTask, ProcessorMeter } from '@ragwortrudder/core';
import type { Clock, Closeable, Random } from '@ragwortrudder/core';
import type { KeyedLog } from '@ragwortrudder/log';
import { SessionAffinity } from '@ragwortrudder/routing';
import type { Writable } from 'node:stream';
import { setTimeout as sleep } from 'node:timers/promises';
import { isDeepStrictEqual } from 'node:util';
import type { CallerRequest } from '../types/caller-request.ts';
import type { CatalogCodec } from '../types/catalog-codec.ts';
import type { CloudApi } from '../types/cloud-api.ts';
import type { Dialect } from '../types/dialect.ts';
import type { GatewaySettings } from '../types/gateway-settings.ts';
import type { TopicFeed } from '../types/topic-feed.ts';
import { DeferredEvidence } from '../utils/deferred-evidence.ts';
import { DemandMeter } from '../utils/demand-meter.ts';
import { RunnerLoadTracker } from '../utils/runner-load-tracker.ts';
import { reasonOf } from '../utils/reason-of.ts';
import { requestDemand } from '../utils/request-demand.ts';
import { ResponseTimes } from '../utils/response-times.ts';
import { retractOwnFaults } from '../utils/retract-own-faults.ts';
import { retryAllowance } from '../utils/retry-allowance.ts';
import { stoppingRefusal } from '../utils/stopping-refusal.ts';
import { trialRank } from '../utils/trial-rank.ts';
import { DisciplinedClock } from '../utils/disciplined-clock.ts';
import { UsageCounter } from '../utils/usage-counter.ts';
import type { CallerChannel } from './caller-channel.ts';
import { CallerServer } from './caller-server.ts';
import { CatalogFollower } from './catalog-follower.ts';
import { createDutyHolder } from './create-duty-holder.ts';
import { ConfigurationSync } from './configuration-sync.ts';
import { DecisionLog } from './decision-log.ts';
import { DutyTermStore } from './duty-term-store.ts';
import type { DutyHolder } from './duty-holder.ts';
import { Evacuations } from './evacuations.ts';
import { Forwarder } from './forwarder.ts';
import { Intake } from './intake.ts';
import { GatewayMetrics } from './gateway-metrics.ts';
import { NodeRegistration } from './node-registration.ts';
import { PeerPassing } from './peer-passing.ts';
import { PeerStateSync } from './peer-state-sync.ts';
import { Peers } from './peers.ts';
import { QuarantineSync } from './quarantine-sync.ts';
import { QuotaExchange } from './quota-exchange.ts';
import { RolloutFollower } from './rollout-follower.ts';
import { Rollouts } from './rollouts.ts';
import { RunnerBounds } from './runner-bounds.ts';
import { RunnerPool } from './runner-pool.ts';
import { StatusServer } from './status-server.ts';

interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly log: KeyedLog;
  readonly codec: CatalogCodec;
  readonly dialect: Dialect;
  readonly cloud: CloudApi | undefined;
  readonly clock: Clock;
  readonly random: Random;
  readonly out: Writable;
}

const MAINTENANCE_PERIOD_MS = 200;
/** Interval between exchanges of quarantined prompt parts with the log, in milliseconds. */
const QUARANTINE_PERIOD_MS = 1_000;
/** Interval between attempts to register this node in the topic of nodes, in milliseconds. */
const REGISTER_PERIOD_MS = 1_000;
/** Share of the activities whose processor time is measured, as each measurement costs a system call. */
const MEASURED_SHARE = 1 / 16;
/** Interval between lines on the processor time of this process, in milliseconds. */
const PROCESSOR_PERIOD_MS = 10_000;
/**
 * Time after SIGTERM during which new connections still arrive, in milliseconds: two readiness
 * checks and their period.
 */
const LEAVE_ROTATION_DELAY_MS = 3_000;
/** Time before the end of the grace period at which the node closes, in milliseconds. */
const GRACE_MARGIN_MS = 700;
/** Time in which the last responses are sent before the node closes, in milliseconds. */
const LAST_RESPONSE_MS = 200;
/** Fraction of the allowed retry ratio that is used, because requests arrive unevenly within a window. */
const USED_RETRY_RATIO = 0.5;

/**
 * Gateway node: forwards requests to runners, according to the configuration and the list of
 * runners in a keyed log.
 */
export class Gateway implements Closeable {
  readonly #options: GatewayOptions;
  readonly #processor = new ProcessorMeter({ measuredShare: MEASURED_SHARE });
  readonly #decisions: DecisionLog;
  readonly #metrics = new GatewayMetrics();
  readonly #directory: RunnerDirectory;
  readonly #loadTracker: RunnerLoadTracker;
  readonly #pool: RunnerPool;
  readonly #rollouts: Rollouts;
  readonly #rolloutFollower: RolloutFollower;
  readonly #quotas: QuotaExchange;
  readonly #usage: UsageCounter;
  readonly #retryBudget: RetryBudget;
  readonly #bounds: RunnerBounds;
  readonly #quarantine: PromptQuarantine;
  readonly #quarantineSync: QuarantineSync;
  readonly #demand: DemandMeter;
  readonly #forwarder: Forwarder;
  readonly #callers: CallerServer;
  readonly #status: StatusServer;
  readonly #metricsServer: StatusServer;
  readonly #peerState: PeerStateSync;
  readonly #peers: Peers;
  readonly #passing: PeerPassing;
  readonly #registration: NodeRegistration;
  readonly #deferredEvidence: DeferredEvidence;
  readonly #dutyHolder: DutyHolder | undefined;
  readonly #catalog: CatalogFollower;
  readonly #configurationSync: ConfigurationSync;
  readonly #tasks: readonly PeriodicTask[];
  readonly #incarnation: number;
  readonly #startedAt: number;
  #configuration: Configuration | undefined;
  #isStopping = false;
  #stoppingSince: number | undefined;
  #settings: GatewaySettings;

  constructor(options: GatewayOptions) {
    this.#options = options;
    this.#settings = options.settings;
    const { settings, clock, random, dialect, codec, out } = options;
    const { node, listen, retries, duties } = settings;
    const address = { host: node.host, port: listen.peerPort };
    this.#incarnation = clock.wall();
    this.#startedAt = clock.monotonic();
    this.#decisions = new DecisionLog({ node: node.id, out, clock, processor: this.#processor });
    this.#directory = new RunnerDirectory({
      clock,
      heartbeatMs: settings.runnerHeartbeatMs,
      onEntry: (entry) => {
        this.#bounds.recordEntry(entry);
      },
    });
    this.#loadTracker = new RunnerLoadTracker(clock);
    this.#quotas = new QuotaExchange({
      clock,
      log: this.#decisions,
      windowMs: settings.quotas.windowMs,
      peers: () => this.#peers,
    });
    this.#usage = new UsageCounter(duties.usageWindowMs, `${node.id} ${this.#incarnation}`);
    this.#demand = new DemandMeter(clock);
    this.#retryBudget = new RetryBudget({ ratio: retries.ratio * USED_RETRY_RATIO });
    const disciplinedClock = new DisciplinedClock(clock);
    this.#bounds = new RunnerBounds({
      clock,
      node: node.id,
      log: this.#decisions,
      metrics: this.#metrics,
      settings: () => this.#settings,
      onChange: () => void this.#peers.publishChange(),
    });
    this.#quarantine = new PromptQuarantine({
      clock,
      trialRank: (part) => this.#trialRank(part),
    });
    this.#rollouts = new Rollouts({ clock, random, log: this.#decisions });
    const following = {
      ...{ log: options.log, clock, random },
      isReader: () => this.#peers.isRelay,
      publishFeed: (feed: TopicFeed) => void this.#peers.publishFeed(feed),
    };
    this.#rolloutFollower = new RolloutFollower({ ...following, rollouts: this.#rollouts });
    this.#peerState = new PeerStateSync({
      node: node.id,
      address,
      failureDomain: node.failureDomain,
      incarnation: this.#incarnation,
      clock,
      loadTracker: this.#loadTracker,
      ...{ quota: this.#quotas.quota, quotaExchange: this.#quotas },
      peers: () => this.#peers,
      usage: this.#usage,
      demand: this.#demand,
      ...this.#bounds.all,
      directory: this.#directory,
      log: this.#decisions,
      configurationVersion: () => this.#catalog.version,
      onPeerConfiguration: (version, peer) => {
        this.#configurationSync.recordPeerVersion(version, peer);
      },
      quarantine: this.#quarantine,
      links: () => this.#pool.links,
      reach: () => this.#passing.reach,
      rollouts: this.#rollouts,
      disciplinedClock,
      dutyToken: () => this.#dutyHolder?.reportedToken ?? 0,
      timing: () => this.#peers.timing,
      isRelay: () => this.#peers.isRelay,
    });
    this.#peers = new Peers({
      node: node.id,
      address,
      clock,
      log: this.#decisions,
      processor: this.#processor,
      dutyToken: () => this.#dutyHolder?.reportedToken ?? 0,
      createReport: (extent) => this.#peerState.createReport(extent),
      createDigest: (members) => this.#peerState.createDigest(members),
      failureDomain: node.failureDomain,
      linkMbps: node.linkMbps,
      onReport: (report, isFirst) => {
        this.#peerState.applyReport(report, isFirst);
      },
      onDigest: (digest) => {
        this.#peerState.applyDigest(digest);
      },
      onPromptAnnouncement: ({ node: peer, runner, tokens }) => {
        this.#loadTracker.addAnnouncedPrompt(peer, runner, tokens);
      },
      onConfigurationRequest: (request) => {
        this.#configurationSync.answer(request);
      },
      onConfigurationPart: (part) => {
        this.#configurationSync.receive(part);
      },
      onQuotaLevels: (levels) => {
        this.#peerState.applyQuotaLevels(levels);
      },
      onFeed: (feed) => {
        if (feed.topic === DutyTermStore.topic) this.#rolloutFollower.applyFeed(feed);
        else this.#catalog.applyFeed(feed);
      },
    });
    const evacuations = new Evacuations({
      ...{ codec, clock, directory: this.#directory },
      decisions: this.#decisions,
      metrics: this.#metrics,
    });
    this.#pool = new RunnerPool({
      directory: this.#directory,
      evacuated: evacuations.domains,
      loadTracker: this.#loadTracker,
      ...this.#bounds.all,
      clock,
      log: this.#decisions,
      nodeCount: () => this.#peers.knownCount,
      onLeaving: () => void this.#peers.publishChange(),
      onLinksChanged: () => void this.#peers.publishChange(),
    });
    this.#deferredEvidence = new DeferredEvidence({
      clock,
      isOwnFault: (entry) => this.#pool.links.isOwnFault(entry),
    });
    const intake = new Intake();
    const entry = { ...address, failureDomain: node.failureDomain, life: this.#incarnation };
    this.#passing = new PeerPassing({
      node: node.id,
      failureDomain: node.failureDomain,
      address,
      dialect,
      clock,
      random,
      peers: this.#peers,
      pool: () => this.#pool,
      intake,
      log: this.#decisions,
      metrics: this.#metrics,
      isStopping: () => this.#isStopping,
      refuse: (refusal, request, channel) => {
        this.#forwarder.refuse(refusal, request, channel);
      },
      onRequest: (request, channel) => this.#forwarder.forwardPassed(request, channel),
    });
    this.#registration = new NodeRegistration({
      log: options.log,
      decisions: this.#decisions,
      node: node.id,
      entry,
      peers: this.#peers,
    });
    this.#forwarder = new Forwarder({
      failureDomain: node.failureDomain,
      dialect,
      clock,
      random,
      directory: this.#directory,
      pool: this.#pool,
      rollouts: this.#rollouts,
      loadTracker: this.#loadTracker,
      sessions: new SessionAffinity(),
      quota: this.#quotas.quota,
      settings: () => this.#settings,
      retryBudget: this.#retryBudget,
      quarantine: this.#quarantine,
      intake,
      deferredEvidence: this.#deferredEvidence,
      peerForwarder: this.#passing.forwarder,
      usage: this.#usage,
      disciplinedClock,
      log: this.#decisions,
      metrics: this.#metrics,
      responseTimes: new ResponseTimes(),
      grace: () => this.#grace,
      isCurrent: () => this.#catalog.isConfirmed && !this.#configurationSync.isBehind,
      onLongPrompt: (runnerId, tokens) => void this.#peers.announcePrompt(runnerId, tokens),
      onAdmitted: (service, request) => {
        this.#demand.add(service.name, requestDemand(request));
      },
      peers: this.#peers,
    });
    this.#quarantineSync = new QuarantineSync({
      quarantine: this.#quarantine,
      log: options.log,
      node: node.id,
      incarnation: this.#incarnation,
      now: () => disciplinedClock.now(),
      decisions: this.#decisions,
      metrics: this.#metrics,
      isDivided: () => this.#peers.isRelay && this.#peers.reachableCount < this.#peers.knownCount,
      onHeld: () => {
        this.#forwarder.stopHeldRequests();
      },
    });
    this.#callers = new CallerServer({
      address: listen.callers,
      dialect,
      intake,
      log: this.#decisions,
      metrics: this.#metrics,
      onRequest: (request, channel) => this.#serve(request, channel),
    });
    const status = {
      isReady: () => this.#isReady,
      metricsText: () => this.#metrics.text(),
      onFailure: this.#decisions.onTaskFailure('accept'),
    };
    this.#status = new StatusServer({ address: listen.readiness, ...status });
    this.#metricsServer = new StatusServer({ address: listen.metrics, ...status });
    this.#dutyHolder = createDutyHolder({
      settings,
      entry,
      log: options.log,
      cloud: options.cloud,
      clock,
      codec,
      peers: this.#peers,
      usage: this.#usage,
      demand: this.#demand,
      directory: this.#directory,
      evacuated: evacuations.domains,
      loadTracker: this.#loadTracker,
      rollouts: this.#rollouts,
      disciplinedClock,
      decisions: this.#decisions,
      prefillMsPerToken: (service) => this.#pool.prefillRate(service).msPerToken,
      services: () => this.#configuration?.services ?? [],
      isStopping: () => this.#isStopping,
      onUnheardHolder: (term) => {
        this.#registration.recordUnheard(term);
      },
    });
    this.#catalog = new CatalogFollower({
      ...following,
      codec,
      evacuations,
      directory: this.#directory,
      decisions: this.#decisions,
      metrics: this.#metrics,
      onConfiguration: (configuration) => {
        this.#apply(configuration);
      },
      onRollout: (order, isRestored) => {
        this.#rollouts.applyOrder(order, isRestored);
      },
    });
    this.#configurationSync = new ConfigurationSync({
      node: node.id,
      address,
      clock,
      catalog: this.#catalog,
      peers: this.#peers,
      log: this.#decisions,
    });
    this.#tasks = [
      new PeriodicTask({
        periodMs: MAINTENANCE_PERIOD_MS,
        run: () => {
          this.#processor.measure('upkeep', () => {
            this.#maintain();
          });
        },
        onFailure: this.#decisions.onTaskFailure('upkeep'),
      }),
      this.#createTask('rollouts', MAINTENANCE_PERIOD_MS, () => this.#rolloutFollower.update()),
      this.#createTask('quarantine', QUARANTINE_PERIOD_MS, () => this.#quarantineSync.exchange()),
      this.#createTask('enter', REGISTER_PERIOD_MS, () =>
        this.#isStopping ? Promise.resolve() : this.#registration.register(),
      ),
      new PeriodicTask({
        periodMs: PROCESSOR_PERIOD_MS,
        run: () => {
          this.#logProcessorTime();
        },
        onFailure: this.#decisions.onTaskFailure('processor-time'),
      }),
    ];
  }

  /** Ports that the node listens on. */
  get ports(): Readonly<Record<'callers' | 'readiness' | 'metrics', number>> {
    return {
      callers: this.#callers.port,
      readiness: this.#status.port,
      metrics: this.#metricsServer.port,
    };
  }

  /** Log of the node. */
  get log(): DecisionLog {
    return this.#decisions;
  }

  /** Starts following the log and listening. */
  async start(): Promise<void> {
    const { node } = this.#options.settings;
    this.#decisions.notable('started', {
      life: this.#incarnation,
      failureDomain: node.failureDomain,
    });
    this.#catalog.start();
    await this.#peers.start();
    await this.#passing.listen();
    await this.#status.listen();
    await this.#metricsServer.listen();
    await this.#callers.listen();
    this.#processor.addUnmeasured('start');
    for (const task of this.#tasks) task.start();
    this.#dutyHolder?.start();
  }

  /** Applies new settings. Changes of addresses and duties take effect only after a restart. */
  reload(settings: GatewaySettings): void {
    const changed = Object.entries(settings)
      .filter(([name, value]) => !isDeepStrictEqual(value, Reflect.get(this.#settings, name)))
      .map(([name]) => name);
    this.#settings = settings;
    this.#decisions.notable('settings-reloaded', { changed: changed.join(',') });
    if (this.#configuration) this.#forwarder.apply(this.#configuration);
  }

  /** Records that new settings were rejected; the previous ones stay active. */
  recordReloadFailure(error: unknown): void {
    this.#metrics.count('reload_failures');
    this.#decisions.notable('settings-rejected', { reason: reasonOf(error) });
  }

  /** Fails the readiness check, finishes the requests in progress within the grace period, and closes. */
  async stop(): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    const { clock } = this.#options;
    const startedAt = clock.monotonic();
    this.#stoppingSince = startedAt;
    this.#decisions.notable('stopping', { active: this.#forwarder.active.size });
    this.#callers.disableKeepAlive();
    const drainTimer = setInterval(() => {
      const sinceMs = clock.monotonic() - startedAt;
      if (sinceMs < LEAVE_ROTATION_DELAY_MS) return;
      this.#callers.closeIdleConnections();
      const requestCount = this.#callers.requestCount + this.#passing.requestCount;
      if (requestCount > 0 && sinceMs < this.#settings.graceMs - GRACE_MARGIN_MS) return;
      clearInterval(drainTimer);
      void this.#finish().catch(this.#decisions.onTaskFailure('close'));
    }, MAINTENANCE_PERIOD_MS);
    await this.#registration.deregister().catch(this.#decisions.onTaskFailure('leave'));
  }

  /** Answers the requests that are left, and those that peers send until they know, and closes. */
  async #finish(): Promise<void> {
    this.#forwarder.stopRequests();
    await this.#peers.publishReport(true);
    await sleep(LAST_RESPONSE_MS);
    await this.close();
  }

  async close(): Promise<void> {
    await this.#peers.publishReport(true);
    this.#logProcessorTime();
    this.#decisions.notable('stopped', { active: this.#forwarder.active.size });
    await Promise.all([
      this.#catalog.close(),
      this.#dutyHolder?.close(),
      this.#callers.close(),
      this.#status.close(),
      this.#metricsServer.close(),
      this.#passing.close(),
      this.#pool.close(),
      this.#peers.close(),
    ]);
    for (const task of this.#tasks) void task.close();
    this.#onClosed();
  }

  /** Resolves once the node has closed. */
  closed(): Promise<void> {
    return this.#closedPromise;
  }

  #onClosed: () => void = () => undefined;
  readonly #closedPromise = new Promise<void>((resolve) => {
    this.#onClosed = resolve;
  });

  get #grace(): ReturnType<ConstructorParameters<typeof Forwarder>[0]['grace']> {
    if (this.#stoppingSince === undefined) return undefined;
    const passedMs = this.#options.clock.monotonic() - this.#stoppingSince;
    return { passedMs, remainingMs: this.#settings.graceMs - GRACE_MARGIN_MS - passedMs };
  }

  get #isReady(): boolean {
    return this.#configuration !== undefined && this.#catalog.hasRunners && !this.#isStopping;
  }

  #maintain(): void {
    const { knownCount } = this.#peers;
    this.#quotas.updateShare();
    this.#retryBudget.setAllowance(retryAllowance(this.#settings.retries, knownCount));
    this.#bounds.update(this.#peers, this.#registration.isRegistered);
    this.#pool.prune();
    this.#passing.update();
    const { links } = this.#pool;
    retractOwnFaults({ quarantine: this.#quarantine, directory: this.#directory, links });
    this.#deferredEvidence.settle();
    this.#forwarder.checkSilence();
    this.#quarantineSync.update();
    this.#configurationSync.update();
  }

  #logProcessorTime(): void {
    const { totalMs, byActivity } = this.#processor.use;
    const activities = [...byActivity].flatMap(([name, { ms, count }]) => [
      [`${name}Ms`, Math.round(ms)] as const,
      [`${name}Count`, count] as const,
    ]);
    this.#decisions.notable('processor-time', {
      totalMs: Math.round(totalMs),
      ...Object.fromEntries(activities),
      requests: this.#callers.receivedCount,
    });
  }

  #createTask(name: string, periodMs: number, run: () => Promise<void>): PeriodicTask {
    return new PeriodicTask({ periodMs, run, onFailure: this.#decisions.onTaskFailure(name) });
  }

  #trialRank(part: string): number | undefined {
    return trialRank(part, {
      id: this.#options.settings.node.id,
      upMs: this.#options.clock.monotonic() - this.#startedAt,
      isStopping: this.#isStopping,
      reachableIds: this.#peers.reachableIds(),
      knownCount: this.#registration.isRegistered ? this.#peers.knownCount : undefined,
    });
  }

  /**
   * A node that is shutting down accepts requests until new connections go elsewhere; later
   * requests might not finish in time.
   */
  #isRefusingRequests(): boolean {
    if (this.#stoppingSince === undefined) return false;
    return this.#options.clock.monotonic() - this.#stoppingSince >= LEAVE_ROTATION_DELAY_MS;
  }

  async #serve(request: CallerRequest, channel: CallerChannel): Promise<void> {
    if (this.#isRefusingRequests()) this.#forwarder.refuse(stoppingRefusal(), request, channel);
    else await this.#forwarder.forward(request, channel);
  }

  #apply(configuration: Configuration): void {
    this.#configuration = configuration;
    this.#bounds.limits.cold.setServices(configuration.services);
    this.#forwarder.apply(configuration);
    this.#callers.setLimits(configuration.limits);
    this.#passing.setLimits(configuration.limits);
  }
}
