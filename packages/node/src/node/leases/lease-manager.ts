import { inject, injectable } from 'inversify';
import { PeriodicTask } from '@ragwortrudder/core';
import type { Clock, Closeable, Random } from '@ragwortrudder/core';
import { LeaseHolder, leaseFold } from '@ragwortrudder/leases';
import type { LeaseRecord, LeaseState } from '@ragwortrudder/leases';
import { rendezvousOrder } from '@ragwortrudder/routing';
import type { Settings } from '@ragwortrudder/settings';
import { tokens } from '../../types/tokens.ts';
import { FollowedStream } from '../configuration/followed-stream.ts';
import type { LiveIncarnation } from '../lifecycle/live-incarnation.ts';
import { Metrics } from '../metrics/metrics.ts';
import { StateLog } from '../metrics/state-log.ts';
import { PeerDirectory } from '../peers/peer-directory.ts';
import { LeaseJob } from './lease-job.ts';

const STREAM = 'leases';
const CHECK_PERIOD_MS = 250;
/** Additional wait of each further node in a job's order before it requests the free lease. */
const RANK_DELAY_MS = 1000;
const MAX_RENEW_BEFORE_MS = 4000;
/** Fraction of the lease duration before its end at which it is renewed. */
const RENEW_BEFORE_FRACTION = 0.3;

/**
 * Acquires, renews and releases the leases of this node's jobs, which are kept in a stream of the
 * log. The stream is followed only once there is a job.
 */
@injectable()
export class LeaseManager implements Closeable {
  readonly #settings: Settings;
  readonly #clock: Clock;
  readonly #self: LiveIncarnation;
  readonly #peers: Pick<PeerDirectory, 'reachable' | 'hasLowestId'>;
  readonly #metrics: Metrics;
  readonly #log: StateLog;
  readonly #stream: FollowedStream<LeaseState>;
  readonly #jobs = new Map<string, LeaseJob>();
  readonly #task: PeriodicTask;

  constructor(
    @inject(tokens.settings) settings: Settings,
    @inject(tokens.clock) clock: Clock,
    @inject(tokens.random) random: Random,
    @inject(tokens.incarnation) self: LiveIncarnation,
    @inject(PeerDirectory) peers: Pick<PeerDirectory, 'reachable' | 'hasLowestId'>,
    @inject(Metrics) metrics: Metrics,
    @inject(StateLog) log: StateLog,
  ) {
    this.#settings = settings;
    this.#clock = clock;
    this.#self = self;
    this.#peers = peers;
    this.#metrics = metrics;
    this.#log = log;
    const onFailure = (): void => {
      metrics.count('lease_task_failures');
    };
    this.#stream = new FollowedStream({
      stream: STREAM,
      fold: leaseFold,
      settings,
      clock,
      random,
      writesSnapshots: () => peers.hasLowestId,
      onFailure,
    });
    const { writer, follower } = this.#stream;
    follower.subscribe(() => {
      for (const { holder } of this.#jobs.values()) holder.observe(follower.state);
    });
    this.#task = new PeriodicTask({
      periodMs: CHECK_PERIOD_MS,
      run: () => {
        this.#check();
      },
      onFailure,
    });
    metrics.gauge('lease_appends', 'Appends of leases.', () => writer.counters.appends);
  }

  /** Sets the jobs whose leases this node tries to hold; the leases of other jobs are released. */
  async setJobs(jobs: readonly string[]): Promise<void> {
    const desired = new Set(jobs);
    for (const job of desired) if (!this.#jobs.has(job)) this.#jobs.set(job, this.#create(job));
    const removed = [...this.#jobs].filter(([job]) => !desired.has(job));
    for (const [job] of removed) this.#jobs.delete(job);
    if (this.#jobs.size > 0) {
      this.#stream.start();
      this.#task.start();
    }
    await Promise.all(removed.map(([job, { holder }]) => this.#release(job, holder)));
  }

  /**
   * This node's lease holder for `job`, whether or not it has the lease; undefined if `job` is not
   * among the jobs of {@link setJobs}.
   */
  holder(job: string): LeaseHolder | undefined {
    return this.#jobs.get(job)?.holder;
  }

  /** The last lease of `job` in the log. */
  record(job: string): LeaseRecord | undefined {
    const { jobs } = this.#stream.follower.state;
    return Object.hasOwn(jobs, job) ? jobs[job] : undefined;
  }

  /** Status of the leases, from the log and from this node's holders. */
  get statuses(): readonly LeaseStatus[] {
    return [...this.#jobs].map(([job, { holder }]) => {
      const record = this.record(job);
      const isHeld = record !== undefined && !record.released;
      return {
        job,
        holder: isHeld ? record.holder : null,
        fence: isHeld ? record.fence : null,
        endsInMs: isHeld ? record.endsAtMs - this.#clock.wall() : null,
        state: holder.state,
      };
    });
  }

  async close(): Promise<void> {
    await this.#task.close();
    await this.setJobs([]);
    await this.#stream.close();
  }

  #create(job: string): LeaseJob {
    const { leaseMs, leaseMarginMs, settleMs } = this.#settings.supply;
    const { nodeId, number } = this.#self.current;
    const holder = new LeaseHolder({
      job,
      holder: `${nodeId}/${number}`,
      clock: this.#clock,
      write: (entry) => this.#stream.writer.write(entry),
      durationMs: leaseMs,
      marginMs: leaseMarginMs,
      renewBeforeMs: Math.min(MAX_RENEW_BEFORE_MS, leaseMs * RENEW_BEFORE_FRACTION),
      settleMs,
    });
    return new LeaseJob({ job, holder, leaseMs, now: this.#clock.monotonic() });
  }

  #check(): void {
    for (const job of this.#jobs.values()) {
      job.holder.observe(this.#stream.follower.state);
      const state = job.takeStateChange();
      if (state !== undefined) this.#log.record({ kind: 'lease', subject: job.job, state });
      if (job.holder.isRenewalDue) this.#write('renew', () => job.holder.renew());
      if (this.#shouldRequest(job)) {
        job.markRequested(this.#clock.monotonic());
        this.#write('acquire', () => job.holder.request());
      }
    }
  }

  /** True if the job has been free for as long as this node waits for nodes of a lower rank. */
  #shouldRequest(job: LeaseJob): boolean {
    const { follower } = this.#stream;
    if (!this.#stream.reachable || !follower.caughtUp) return false;
    const now = this.#clock.monotonic();
    const record = this.record(job.job);
    job.observe(record, now);
    if (job.holder.state !== 'free') return false;
    return job.isFree(record, now, this.#rank(job.job) * RANK_DELAY_MS);
  }

  /** Position of this node in the order in which nodes may request `job`. */
  #rank(job: string): number {
    const { nodeId } = this.#self.current;
    const nodes = [nodeId, ...this.#peers.reachable.map((member) => member.nodeId)];
    return rendezvousOrder(job, nodes, (id) => id).indexOf(nodeId);
  }

  async #release(job: string, holder: LeaseHolder): Promise<void> {
    if (!holder.isHeld) return;
    this.#log.record({ kind: 'lease', subject: job, state: 'released' });
    try {
      await holder.release();
    } catch {
      this.#metrics.count('lease_writes_failed', { type: 'release' });
    }
  }

  #write(type: string, write: () => Promise<void>): void {
    this.#metrics.count('lease_writes', { type });
    write().catch(() => {
      this.#metrics.count('lease_writes_failed', { type });
    });
  }
}

/** Status of a lease for operators. */
interface LeaseStatus {
  readonly job: string;
  readonly holder: string | null;
  readonly fence: number | null;
  readonly endsInMs: number | null;
  /** State of this node's own lease holder. */
  readonly state: string;
}
