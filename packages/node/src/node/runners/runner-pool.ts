import { inject, injectable } from 'inversify';
import { PeriodicTask } from '@ragwortrudder/core';
import type { Clock, Closeable } from '@ragwortrudder/core';
import { VmDirectory } from '@ragwortrudder/platform';
import type { Vm } from '@ragwortrudder/platform';
import { CacheDirectory, OutlierDetector, selectSubset } from '@ragwortrudder/routing';
import type { RequestOutcome, RunnerIdentity, RunnerView } from '@ragwortrudder/routing';
import type { Settings } from '@ragwortrudder/settings';
import { tokens } from '../../types/tokens.ts';
import { dueReads } from '../../utils/due-reads.ts';
import { runnerIdentityOf } from '../../utils/runner-identity-of.ts';
import { Metrics } from '../metrics/metrics.ts';
import { StateLog } from '../metrics/state-log.ts';
import { PeerDirectory } from '../peers/peer-directory.ts';
import { Runner } from './runner.ts';
import { RunnerClient } from './runner-client.ts';

/** Time without a request after which the runners of a service are polled less often. */
const IDLE_AFTER_MS = 5000;
/** Factor by which the polling period of a service without requests is longer. */
const IDLE_PERIOD_FACTOR = 8;
/** Limit of load reads per second; with many runners each one is polled less often. */
const MAX_LOAD_READS_PER_SECOND = 40;
const MAX_CACHE_READS_PER_SECOND = 10;
/** Tolerance by which a timer may fire early and the read still counts as due. */
const TIMER_SLACK_MS = 5;
const MS_PER_SECOND = 1000;
/** Minimum time between reads of the VM list, for each VM on it. */
const DIRECTORY_MS_PER_VM = 10;

/** The runners to which this node sends requests: their identities, loads and cache contents. */
@injectable()
export class RunnerPool implements Closeable {
  readonly cache = new CacheDirectory();
  readonly #settings: Settings;
  readonly #clock: Clock;
  readonly #client: RunnerClient;
  readonly #peers: PeerDirectory;
  readonly #metrics: Metrics;
  readonly #log: StateLog;
  readonly #directory: VmDirectory;
  readonly #runners = new Map<string, Runner>();
  readonly #outliers = new Map<string, OutlierDetector>();
  readonly #reclaimTimes = new Map<string, number>();
  /** Monotonic time of the last request to each service. */
  readonly #lastUsedAt = new Map<string, number>();
  readonly #listeners = new Set<() => void>();
  readonly #tasks: readonly PeriodicTask[];
  /** Monotonic time in milliseconds before which the VM list is not read again. */
  #directoryDueAt = -Infinity;

  constructor(
    @inject(tokens.settings) settings: Settings,
    @inject(tokens.clock) clock: Clock,
    @inject(RunnerClient) client: RunnerClient,
    @inject(PeerDirectory) peers: PeerDirectory,
    @inject(Metrics) metrics: Metrics,
    @inject(StateLog) log: StateLog,
  ) {
    this.#settings = settings;
    this.#clock = clock;
    this.#client = client;
    this.#peers = peers;
    this.#metrics = metrics;
    this.#log = log;
    this.#directory = new VmDirectory({ baseUrl: settings.platform.url });
    const { directoryPeriodMs, loadPeriodMs, cachePeriodMs } = settings.runners;
    const createTask = (name: string, periodMs: number, run: () => Promise<void>): PeriodicTask =>
      new PeriodicTask({
        periodMs,
        run,
        onFailure: () => {
          metrics.count('runner_task_failures', { task: name });
        },
      });
    this.#tasks = [
      createTask('directory', directoryPeriodMs, () => this.#readDirectory()),
      createTask('load', loadPeriodMs, () => this.#readLoads()),
      createTask('cache', cachePeriodMs, () => this.#readCaches()),
    ];
  }

  /** All known runners. */
  get runners(): readonly Runner[] {
    return [...this.#runners.values()];
  }

  /** Runner `id`, if this node knows it. */
  find(id: string): Runner | undefined {
    return this.#runners.get(id);
  }

  /** Routing views of the runners of `service` and, if given, `version`. */
  views(service: string, version?: string): readonly RunnerView[] {
    const now = this.#clock.monotonic();
    return this.runners
      .filter(({ identity }) => identity.service === service)
      .filter(({ identity }) => version === undefined || identity.version === version)
      .map((runner) => this.view(runner, now));
  }

  /** Routing view of `runner`: the state on which routing decisions are based. */
  view(runner: Runner, now = this.#clock.monotonic()): RunnerView {
    const { id, service } = runner.identity;
    return runner.tracker.view(now, this.#outliers.get(service)?.isEjected(id, now) ?? false);
  }

  /** Records that a request was sent to `runner`. */
  recordSent(runner: Runner): void {
    const { id, service } = runner.identity;
    const now = this.#clock.monotonic();
    this.#lastUsedAt.set(service, now);
    this.#outliers.get(service)?.recordSent(id, now);
  }

  /** Records how a request on `runner` ended; the outcome can eject the runner as an outlier. */
  recordOutcome(runner: Runner, outcome: RequestOutcome): void {
    const { id, service } = runner.identity;
    const wasEjected = this.#outliers.get(service)?.record(id, outcome, this.#clock.monotonic());
    if (wasEjected) this.#log.record({ kind: 'runner', subject: id, state: 'set-aside' });
  }

  /** Applies the reclaim notice of a VM, whether or not its runner is known yet. */
  markLeaving(vmId: string, reclaimAt: number): void {
    const isNew = !this.#reclaimTimes.has(vmId);
    this.#reclaimTimes.set(vmId, reclaimAt);
    const runner = this.#runners.get(vmId);
    if (!runner) return;
    runner.reclaimAt = reclaimAt;
    runner.tracker.setState('leaving');
    if (isNew) this.#log.record({ kind: 'runner', subject: vmId, state: 'leaving' });
  }

  /** VMs with a reclaim notice. */
  get leavingVms(): readonly string[] {
    return [...this.#reclaimTimes.keys()];
  }

  /**
   * Calls `listener` after the VM list or the loads of runners were read; returns a function that
   * unsubscribes it.
   */
  subscribe(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  start(): void {
    for (const task of this.#tasks) task.start();
  }

  async close(): Promise<void> {
    await Promise.all(this.#tasks.map((task) => task.close()));
    await this.#directory.close();
  }

  async #readDirectory(): Promise<void> {
    const now = this.#clock.monotonic();
    if (now < this.#directoryDueAt) return;
    const vms = await this.#directory.list();
    this.#directoryDueAt = now + vms.length * DIRECTORY_MS_PER_VM;
    const vmsById = new Map(vms.map((vm) => [vm.id, vm]));
    const identities = vms.map(runnerIdentityOf).filter((identity) => identity !== undefined);
    const selected = new Set(this.#selectRunners(identities));
    for (const identity of identities)
      if (selected.has(identity.id)) this.#add(identity, vmsById.get(identity.id));
    for (const id of this.#runners.keys()) if (!selected.has(id)) this.#remove(id);
    for (const [service, outliers] of this.#outliers) outliers.setRunners(this.#idsOf(service));
    this.#notify();
  }

  #selectRunners(identities: readonly RunnerIdentity[]): readonly string[] {
    const runnersByVersion = new Map<string, readonly RunnerIdentity[]>();
    for (const identity of identities) {
      const versionKey = `${identity.service}/${identity.version}`;
      runnersByVersion.set(versionKey, [...(runnersByVersion.get(versionKey) ?? []), identity]);
    }
    return [...runnersByVersion.values()].flatMap((group) =>
      selectSubset({
        nodeId: this.#settings.node.id,
        runners: group.map(({ id }) => id),
        size: this.#settings.runners.subsetSize,
        nodes: [this.#settings.node.id, ...this.#peers.reachable.map(({ nodeId }) => nodeId)],
      }),
    );
  }

  #add(identity: RunnerIdentity, vm: Vm | undefined): void {
    const runner = this.#runners.get(identity.id) ?? this.#create(identity);
    const reclaimAt = this.#reclaimTimes.get(identity.id);
    if (reclaimAt !== undefined) runner.reclaimAt = reclaimAt;
    runner.tracker.setState(
      vm?.state === 'leaving' || reclaimAt !== undefined ? 'leaving' : 'ready',
    );
  }

  #create(identity: RunnerIdentity): Runner {
    const runner = new Runner({
      identity,
      initialLimit: this.#settings.admission.runnerLimit,
      minSilenceMs: this.#settings.runners.minSilenceMs,
    });
    this.#runners.set(identity.id, runner);
    if (identity.kind === 'model') this.cache.set(identity.id, runner.tracker.cache);
    if (!this.#outliers.has(identity.service))
      this.#outliers.set(identity.service, new OutlierDetector());
    this.#log.record({ kind: 'runner', subject: identity.id, state: 'added' });
    return runner;
  }

  #remove(id: string): void {
    this.#runners.get(id)?.tracker.setState('gone');
    this.#runners.delete(id);
    this.cache.delete(id);
    this.#log.record({ kind: 'runner', subject: id, state: 'removed' });
  }

  #idsOf(service: string): readonly string[] {
    return this.runners
      .filter(({ identity }) => identity.service === service)
      .map(({ identity }) => identity.id);
  }

  async #readLoads(): Promise<void> {
    const { loadPeriodMs } = this.#settings.runners;
    const due = dueReads({
      items: this.runners,
      readingOf: ({ identity, loadReadAt }) => ({
        readAt: loadReadAt,
        periodMs: this.#readPeriod(identity.service, loadPeriodMs),
      }),
      now: this.#clock.monotonic(),
      limit: Math.ceil((MAX_LOAD_READS_PER_SECOND * loadPeriodMs) / MS_PER_SECOND),
    });
    await Promise.all(due.map((runner) => this.#readLoad(runner)));
    this.#notify();
  }

  async #readLoad(runner: Runner): Promise<void> {
    const sentAt = this.#clock.monotonic();
    runner.loadReadAt = sentAt;
    try {
      const { at, running, waiting, leaving, ...optional } = await this.#client.load(
        runner.identity.endpoint,
      );
      const now = this.#clock.monotonic();
      runner.tracker.recordRoundTrip(now - sentAt);
      const ageMs = Math.max(0, this.#clock.wall() - at);
      runner.tracker.applyReport(
        { running, waiting, leaving, ...omitUndefined(optional) },
        now - ageMs,
      );
    } catch {
      this.#metrics.count('load_reads_failed');
    }
  }

  async #readCaches(): Promise<void> {
    const { cachePeriodMs } = this.#settings.runners;
    const due = dueReads({
      items: this.runners.filter(({ identity }) => identity.kind === 'model'),
      readingOf: ({ identity, cacheReadAt }) => ({
        readAt: cacheReadAt,
        periodMs: this.#readPeriod(identity.service, cachePeriodMs),
      }),
      now: this.#clock.monotonic(),
      limit: Math.ceil((MAX_CACHE_READS_PER_SECOND * cachePeriodMs) / MS_PER_SECOND),
    });
    await Promise.all(due.map((runner) => this.#readCache(runner)));
  }

  /** Polling period of the runners of `service`; longer while this node sends them no requests. */
  #readPeriod(service: string, periodMs: number): number {
    const lastUsedAt = this.#lastUsedAt.get(service) ?? -Infinity;
    const isIdle = this.#clock.monotonic() - lastUsedAt > IDLE_AFTER_MS;
    return (isIdle ? IDLE_PERIOD_FACTOR : 1) * periodMs - TIMER_SLACK_MS;
  }

  async #readCache(runner: Runner): Promise<void> {
    const { identity, tracker } = runner;
    const { cache } = tracker;
    runner.cacheReadAt = this.#clock.monotonic();
    try {
      const { events } = await this.#client.cacheEvents(identity.endpoint, cache.seq);
      cache.apply(events, this.#clock.monotonic());
      if (cache.needsSnapshot) cache.restore(await this.#client.cacheSnapshot(identity.endpoint));
    } catch {
      this.#metrics.count('cache_reads_failed');
    }
  }

  #notify(): void {
    for (const listener of [...this.#listeners]) listener();
  }
}

/** Omits undefined properties, as `exactOptionalPropertyTypes` requires. */
function omitUndefined<T extends object>(value: T): { [K in keyof T]: Exclude<T[K], undefined> } {
  return Object.fromEntries(
    Object.entries(value).filter(([, item]) => item !== undefined),
  ) as never;
}
