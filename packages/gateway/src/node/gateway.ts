import { RetryBudget, SharedQuota } from '@ragwortrudder/admission';
import { RunnerDirectory } from '@ragwortrudder/catalog';
import type { Configuration } from '@ragwortrudder/catalog';
import { PeriodicTask } from '@ragwortrudder/core';
import type { Clock, Closeable, Random } from '@ragwortrudder/core';
import type { KeyedLog } from '@ragwortrudder/log';
import { SessionPlaces } from '@ragwortrudder/routing';
import type { Writable } from 'node:stream';
import { isDeepStrictEqual } from 'node:util';
import { Refusal } from '../errors/refusal.ts';
import type { CallerRequest } from '../types/caller-request.ts';
import type { CatalogCodec } from '../types/catalog-codec.ts';
import type { Cloud } from '../types/cloud.ts';
import type { Dialect } from '../types/dialect.ts';
import type { GatewaySettings } from '../types/gateway-settings.ts';
import { PeerEntry } from '../types/peer-entry.ts';
import { DemandMeter } from '../utils/demand-meter.ts';
import { LoadBoard } from '../utils/load-board.ts';
import { retryAllowance } from '../utils/retry-allowance.ts';
import { TrueTime } from '../utils/true-time.ts';
import { UsageCounter } from '../utils/usage-counter.ts';
import type { CallerChannel } from './caller-channel.ts';
import { CallerServer } from './caller-server.ts';
import { CatalogFollower } from './catalog-follower.ts';
import { DecisionLog } from './decision-log.ts';
import { DutyBoard } from './duty-board.ts';
import { DutyHolder } from './duty-holder.ts';
import { Forwarder } from './forwarder.ts';
import { GatewayMetrics } from './gateway-metrics.ts';
import { PeerReports } from './peer-reports.ts';
import { Peers } from './peers.ts';
import { RunnerPool } from './runner-pool.ts';
import { StatusServer } from './status-server.ts';
import { SupplyDuty } from './supply-duty.ts';
import { UsageDuty } from './usage-duty.ts';

interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly log: KeyedLog;
  readonly codec: CatalogCodec;
  readonly dialect: Dialect;
  readonly cloud: Cloud | undefined;
  readonly clock: Clock;
  readonly random: Random;
  readonly out: Writable;
}

const NODE_TOPIC = 'nodes';
const UPKEEP_MS = 200;
/** Pause between tries to enter this node in the list of nodes, in milliseconds. */
const ENTER_PAUSE_MS = 1_000;
/** Time after SIGTERM during which new connections still come, in milliseconds: two readiness checks and their period. */
const LEAVE_ROTATION_MS = 3_000;
/** Time before the end of the grace period at which the node ends, in milliseconds. */
const GRACE_MARGIN_MS = 700;
/** Part of the allowed share of repeats that is used; requests come unevenly within a window. */
const USED_RETRY_RATIO = 0.5;
const HTTP_UNAVAILABLE = 503;
/** When a caller that a stopping node refuses may go to another, in milliseconds. */
const STOPPING_RETRY_MS = 50;

/** Node that forwards callers' requests to runners, by a configuration and a list of runners in a keyed log. */
export class Gateway implements Closeable {
  readonly #options: GatewayOptions;
  readonly #decisions: DecisionLog;
  readonly #metrics = new GatewayMetrics();
  readonly #directory: RunnerDirectory;
  readonly #board: LoadBoard;
  readonly #pool: RunnerPool;
  readonly #quota: SharedQuota;
  readonly #usage: UsageCounter;
  readonly #budget: RetryBudget;
  readonly #demand: DemandMeter;
  readonly #forwarder: Forwarder;
  readonly #callers: CallerServer;
  readonly #status: StatusServer;
  readonly #metricsServer: StatusServer;
  readonly #reports: PeerReports;
  readonly #peers: Peers;
  readonly #duties: DutyHolder | undefined;
  readonly #catalog: CatalogFollower;
  readonly #tasks: readonly PeriodicTask[];
  readonly #life: number;
  #configuration: Configuration | undefined;
  #isEntered = false;
  #isStopping = false;
  #stoppingSince: number | undefined;
  #settings: GatewaySettings;

  constructor(options: GatewayOptions) {
    this.#options = options;
    this.#settings = options.settings;
    const { settings, clock, random, dialect, codec, out } = options;
    const { node, listen, retries, duties } = settings;
    this.#life = clock.wall();
    this.#decisions = new DecisionLog({ node: node.id, out, clock });
    this.#directory = new RunnerDirectory({ clock });
    this.#board = new LoadBoard(clock);
    this.#quota = new SharedQuota(clock);
    this.#usage = new UsageCounter(duties.usageWindowMs, `${node.id} ${this.#life}`);
    this.#demand = new DemandMeter(clock);
    this.#budget = new RetryBudget({ ratio: retries.ratio * USED_RETRY_RATIO });
    const trueTime = new TrueTime(clock);
    this.#reports = new PeerReports({
      node: node.id,
      address: { host: node.host, port: listen.peerPort },
      failureDomain: node.failureDomain,
      life: this.#life,
      clock,
      board: this.#board,
      quota: this.#quota,
      usage: this.#usage,
      demand: this.#demand,
      trueTime,
      dutyToken: () => this.#duties?.toldToken ?? 0,
    });
    this.#peers = new Peers({
      node: node.id,
      address: { host: node.host, port: listen.peerPort },
      clock,
      log: this.#decisions,
      duty: () => this.#duties?.toldToken ?? 0,
      report: (extent) => this.#reports.own(extent),
      digest: (members) => this.#reports.digest(members),
      failureDomain: node.failureDomain,
      onReport: (report, isFirst) => {
        this.#reports.take(report, isFirst);
      },
      onDigest: (digest) => {
        this.#reports.takeDigest(digest);
      },
      onPrompt: ({ node: peer, runner, tokens }) => {
        this.#board.notice(peer, runner, tokens);
      },
      onFeed: (feed) => {
        this.#catalog.take(feed);
      },
    });
    this.#pool = new RunnerPool({
      directory: this.#directory,
      board: this.#board,
      clock,
      log: this.#decisions,
      nodes: () => this.#peers.known,
    });
    this.#forwarder = new Forwarder({
      failureDomain: node.failureDomain,
      dialect,
      clock,
      random,
      directory: this.#directory,
      pool: this.#pool,
      board: this.#board,
      sessions: new SessionPlaces(),
      quota: this.#quota,
      quotas: () => this.#settings.quotas,
      budget: this.#budget,
      usage: this.#usage,
      trueTime,
      log: this.#decisions,
      metrics: this.#metrics,
      onPrompt: (runnerId, tokens) => void this.#peers.tellPrompt(runnerId, tokens),
      onDemand: (service, request) => {
        this.#demand.add(service.name, {
          requests: 1,
          promptTokens: request.promptTokens ?? 0,
          outputTokens: request.outputTokens ?? 0,
        });
      },
    });
    this.#callers = new CallerServer({
      address: listen.callers,
      dialect,
      log: this.#decisions,
      onRequest: (request, channel) => this.#serve(request, channel),
    });
    this.#status = new StatusServer({
      address: listen.readiness,
      isReady: () => this.#isReady,
      metricsText: () => this.#metrics.text(),
    });
    this.#metricsServer = new StatusServer({
      address: listen.metrics,
      isReady: () => this.#isReady,
      metricsText: () => this.#metrics.text(),
    });
    this.#duties = this.#createDuties(trueTime);
    this.#catalog = new CatalogFollower({
      log: options.log,
      codec,
      clock,
      random,
      directory: this.#directory,
      decisions: this.#decisions,
      metrics: this.#metrics,
      isReader: () => this.#peers.isRelay,
      feed: (feed) => void this.#peers.feed(feed),
      onConfiguration: (configuration) => {
        this.#apply(configuration);
      },
    });
    this.#tasks = [
      new PeriodicTask({
        periodMs: UPKEEP_MS,
        run: () => {
          this.#quota.setShare(this.#peers.heard / this.#peers.known);
          this.#budget.setAllowance(retryAllowance(this.#settings.retries, this.#peers.known));
          this.#pool.prune();
          this.#forwarder.watch();
        },
        onFailure: this.#logFailure('upkeep'),
      }),
      new PeriodicTask({
        periodMs: ENTER_PAUSE_MS,
        run: () => this.#enter(),
        onFailure: this.#logFailure('enter'),
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

  /** Starts to follow the log and to listen. */
  async start(): Promise<void> {
    const { node } = this.#options.settings;
    this.#decisions.notable('started', { life: this.#life, failureDomain: node.failureDomain });
    this.#catalog.start();
    await this.#peers.start();
    await this.#status.listen();
    await this.#metricsServer.listen();
    await this.#callers.listen();
    for (const task of this.#tasks) task.start();
    this.#duties?.start();
  }

  /** Puts new settings in force. Addresses and duties stay as they were until the next start. */
  reload(settings: GatewaySettings): void {
    const changed = Object.entries(settings)
      .filter(([name, value]) => !isDeepStrictEqual(value, Reflect.get(this.#settings, name)))
      .map(([name]) => name);
    this.#settings = settings;
    this.#decisions.notable('settings-reloaded', { changed: changed.join(',') });
    if (this.#configuration) this.#forwarder.apply(this.#configuration);
  }

  /** Records that new settings cannot be used; the old ones stay in force. */
  rejectReload(error: unknown): void {
    this.#metrics.count('reload_failures');
    this.#decisions.notable('settings-rejected', {
      reason: error instanceof Error ? error.message : String(error),
    });
  }

  /** Leaves the rotation, finishes what is in progress within the grace period, and closes. */
  async stop(): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    const { clock } = this.#options;
    const startedAt = clock.monotonic();
    this.#stoppingSince = startedAt;
    this.#decisions.notable('stopping', { active: this.#forwarder.active.size });
    this.#callers.stopKeepingConnections();
    const leave = setInterval(() => {
      const sinceMs = clock.monotonic() - startedAt;
      if (sinceMs < LEAVE_ROTATION_MS) return;
      this.#callers.closeIdle();
      if (this.#forwarder.active.size > 0 && sinceMs < this.#settings.graceMs - GRACE_MARGIN_MS)
        return;
      clearInterval(leave);
      void this.close();
    }, UPKEEP_MS);
    await this.#leave();
  }

  async close(): Promise<void> {
    await this.#peers.tellAll(true);
    this.#decisions.notable('stopped', { active: this.#forwarder.active.size });
    await Promise.all([
      this.#catalog.close(),
      this.#duties?.close(),
      this.#callers.close(),
      this.#status.close(),
      this.#metricsServer.close(),
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

  get #isReady(): boolean {
    return this.#configuration !== undefined && this.#catalog.hasRunners && !this.#isStopping;
  }

  /** A stopping node takes requests until new connections go elsewhere; later ones might not end in time. */
  #refusesNew(): boolean {
    if (this.#stoppingSince === undefined) return false;
    return this.#options.clock.monotonic() - this.#stoppingSince >= LEAVE_ROTATION_MS;
  }

  async #serve(request: CallerRequest, channel: CallerChannel): Promise<void> {
    if (this.#refusesNew()) {
      const refusal = new Refusal('node-stopping', {
        status: HTTP_UNAVAILABLE,
        retryAfterMs: STOPPING_RETRY_MS,
      });
      this.#metrics.count('refusals', { cause: refusal.code });
      this.#decisions.notable('request-refused', { request: request.id, cause: refusal.code });
      channel.fail(refusal, request.id);
      return;
    }
    await this.#forwarder.forward(request, channel);
  }

  #createDuties(trueTime: TrueTime): DutyHolder | undefined {
    const { settings, log, cloud, clock } = this.#options;
    const { node, duties } = settings;
    if (!cloud) return undefined;
    const usage = new UsageDuty({
      cloud,
      usage: this.#usage,
      peers: this.#peers,
      trueTime,
      log: this.#decisions,
      windowMs: duties.usageWindowMs,
      lateMs: duties.usageLateMs,
    });
    const supply = new SupplyDuty({
      cloud,
      directory: this.#directory,
      demand: this.#demand,
      clock,
      log: this.#decisions,
      prefillMsPerToken: (service) => this.#pool.prefillRate(service).msPerToken,
      services: () => this.#configuration?.services ?? [],
    });
    return new DutyHolder({
      node: node.id,
      board: new DutyBoard({ log, node: node.id }),
      peers: this.#peers,
      clock,
      log: this.#decisions,
      duties: [...(duties.reportsUsage ? [usage] : []), ...(duties.ordersRunners ? [supply] : [])],
      leaseMs: duties.leaseMs,
      isStopping: () => this.#isStopping,
    });
  }

  #apply(configuration: Configuration): void {
    this.#configuration = configuration;
    this.#forwarder.apply(configuration);
    this.#callers.setLimits(configuration.limits);
  }

  /** Enters this node in the list of nodes, and learns of the others. */
  async #enter(): Promise<void> {
    if (this.#isEntered || this.#isStopping) return;
    const { log, settings } = this.#options;
    const { id, host, failureDomain } = settings.node;
    const port = settings.listen.peerPort;
    const entry: PeerEntry = { host, port, failureDomain, life: this.#life };
    const value = Buffer.from(JSON.stringify(entry));
    await log.append({ topic: NODE_TOPIC, key: id, value });
    const { records } = await log.newest(NODE_TOPIC);
    for (const { key, value: bytes } of records) {
      const peer = bytes && peerEntryIn(bytes);
      if (!peer) continue;
      this.#peers.introduce(key, { host: peer.host, port: peer.port }, peer.failureDomain);
    }
    this.#isEntered = true;
    await this.#peers.tellAll();
  }

  async #leave(): Promise<void> {
    if (!this.#isEntered) return;
    try {
      await this.#options.log.append({ topic: NODE_TOPIC, key: this.#options.settings.node.id });
    } catch (error) {
      this.#logFailure('leave')(error);
    }
  }

  #logFailure(task: string): (error: unknown) => void {
    return (error) => {
      this.#decisions.notable('task-failed', {
        task,
        reason: error instanceof Error ? error.message : String(error),
      });
    };
  }
}

function peerEntryIn(bytes: Uint8Array): PeerEntry | undefined {
  try {
    return PeerEntry.safeParse(JSON.parse(Buffer.from(bytes).toString())).data;
  } catch {
    return undefined;
  }
}
