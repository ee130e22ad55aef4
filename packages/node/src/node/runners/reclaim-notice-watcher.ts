import { inject, injectable } from 'inversify';
import { PeriodicTask } from '@ragwortrudder/core';
import type { Clock, Closeable } from '@ragwortrudder/core';
import { CloudApi } from '@ragwortrudder/platform';
import type { Settings } from '@ragwortrudder/settings';
import { tokens } from '../../types/tokens.ts';
import { Metrics } from '../metrics/metrics.ts';
import { PeerDirectory } from '../peers/peer-directory.ts';
import { ReturningVms } from '../supply/returning-vms.ts';
import { RunnerPool } from './runner-pool.ts';

/** Time until the reclaim that is assumed for a notice known only from a peer's report. */
const ASSUMED_REMAINING_MS = 20_000;

/** Reads reclaim notices from the platform and from the reports of peers. */
@injectable()
export class ReclaimNoticeWatcher implements Closeable {
  readonly #clock: Clock;
  readonly #vmId: string;
  readonly #cloudApi: CloudApi;
  readonly #pool: RunnerPool;
  readonly #returningVms: ReturningVms;
  readonly #peers: PeerDirectory;
  readonly #task: PeriodicTask;
  #nextNotice = 0;
  #ownNoticeListener: ((reclaimAt: number) => void) | undefined;

  constructor(
    @inject(tokens.settings) settings: Settings,
    @inject(tokens.clock) clock: Clock,
    @inject(RunnerPool) pool: RunnerPool,
    @inject(ReturningVms) returningVms: ReturningVms,
    @inject(PeerDirectory) peers: PeerDirectory,
    @inject(Metrics) metrics: Metrics,
  ) {
    this.#clock = clock;
    this.#vmId = settings.node.vmId ?? settings.node.id;
    this.#pool = pool;
    this.#returningVms = returningVms;
    this.#peers = peers;
    this.#cloudApi = new CloudApi({ baseUrl: settings.platform.url });
    this.#task = new PeriodicTask({
      periodMs: settings.runners.noticePeriodMs,
      run: () => this.#read(),
      onFailure: () => {
        metrics.count('notice_reads_failed');
      },
    });
  }

  /** Sets the listener that gets the reclaim time when this node's own VM has a reclaim notice. */
  onOwnNotice(listener: (reclaimAt: number) => void): void {
    this.#ownNoticeListener = listener;
  }

  start(): void {
    this.#task.start();
  }

  async close(): Promise<void> {
    await this.#task.close();
    await this.#cloudApi.close();
  }

  async #read(): Promise<void> {
    this.#readReports();
    const { notices, next } = await this.#cloudApi.notices(this.#nextNotice);
    this.#nextNotice = next;
    for (const { vmId, deadline } of notices) {
      this.#pool.markLeaving(vmId, deadline);
      if (vmId === this.#vmId) this.#ownNoticeListener?.(deadline);
    }
  }

  #readReports(): void {
    for (const { value } of this.#peers.reports)
      this.#returningVms.addReported(value.returningVms ?? []);
    const known = new Set(this.#pool.leavingVms);
    const reported = this.#peers.reports.flatMap(({ value }) => value.leavingVms);
    for (const vmId of reported) {
      if (!known.has(vmId)) this.#pool.markLeaving(vmId, this.#clock.wall() + ASSUMED_REMAINING_MS);
    }
  }
}
