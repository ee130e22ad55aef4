import type { CloudApi } from '../types/cloud-api.ts';
import type { Duty } from '../types/duty.ts';
import { UsageCheckpoint } from '../types/usage-checkpoint.ts';
import type { UsageReport } from '../types/usage-report.ts';
import type { UsageCounter } from '../utils/usage-counter.ts';
import type { DecisionLog } from './decision-log.ts';
import type { DutyTermStore } from './duty-term-store.ts';
import type { Peers } from './peers.ts';

interface UsageDutyOptions {
  readonly cloud: CloudApi;
  readonly usage: UsageCounter;
  readonly peers: Pick<Peers, 'hasSilentPeer'>;
  readonly disciplinedClock: { now(): number };
  readonly log: DecisionLog;
  readonly windowMs: number;
  /** Time after the end of a window within which its usage must be reported, in milliseconds. */
  readonly lateMs: number;
}

const KEY_PREFIX = 'usage-';
const CHECKPOINT_KEY = 'draft-of-usage';
/**
 * Minimum time between two checkpoints, in milliseconds; bounds the usage that is lost when all
 * nodes are killed.
 */
const CHECKPOINT_PERIOD_MS = 1_000;
/** Number of windows whose final counts are kept: more than can be pending at once. */
const KEPT_REPORTS = 8;
/** Time after the end of a window within which all nodes have sent their counts, in milliseconds. */
const SETTLE_MS = 1_500;
/** Fraction of the reporting time for which counts of silent peers are awaited. */
const SILENT_PEER_WAIT_SHARE = 0.6;

function isReport(value: unknown): value is UsageReport {
  const report = value as Partial<UsageReport> | undefined;
  return typeof report?.window === 'number' && typeof report.counts === 'object';
}

/**
 * Reports usage by window. Final counts are recorded before they are sent, so that every report of a
 * window carries the same counts. Checkpoints of the running counts let open windows survive the loss
 * of the nodes that counted them.
 */
export class UsageDuty implements Duty {
  readonly #options: UsageDutyOptions;
  readonly #unsent = new Map<number, UsageReport>();
  #nextWindow = 0;
  #checkpointedAt = -Infinity;
  #lastCheckpoint = '';

  constructor(options: UsageDutyOptions) {
    this.#options = options;
  }

  begin(termStore: DutyTermStore): void {
    const checkpoint = UsageCheckpoint.safeParse(termStore.records.get(CHECKPOINT_KEY)).data;
    if (checkpoint) this.#options.usage.mergeCheckpoint(checkpoint);
    const reports = [...termStore.records.values()].filter(isReport);
    const current = this.#currentWindow();
    const oldestDue = current - Math.ceil(this.#options.lateMs / this.#options.windowMs);
    const newest = Math.max(0, ...reports.map(({ window }) => window));
    this.#nextWindow = Math.max(oldestDue, newest + 1);
    if (termStore.mayLackRecords) {
      // A window that has ended may have been reported with counts that are lost.
      this.#options.log.notable('usage-windows-skipped', { from: this.#nextWindow, to: current });
      this.#nextWindow = Math.max(this.#nextWindow, current);
    }
    this.#unsent.clear();
    for (const report of reports)
      if (report.window >= oldestDue) this.#unsent.set(report.window, report);
  }

  async perform(termStore: DutyTermStore): Promise<void> {
    while (this.#isComplete(this.#nextWindow)) {
      const report = this.#options.usage.reportOf(this.#nextWindow);
      if (Object.keys(report.counts).length > 0) {
        const isRecorded = await termStore.record(
          `${KEY_PREFIX}${report.window % KEPT_REPORTS}`,
          report,
        );
        if (!isRecorded) return;
        this.#unsent.set(report.window, report);
      }
      this.#nextWindow += 1;
    }
    await this.#send(termStore);
    await this.#writeCheckpoint(termStore);
  }

  async #writeCheckpoint(termStore: DutyTermStore): Promise<void> {
    const { usage, disciplinedClock } = this.#options;
    const now = disciplinedClock.now();
    if (Math.abs(now - this.#checkpointedAt) < CHECKPOINT_PERIOD_MS) return;
    const checkpoint = usage.checkpointFrom(this.#nextWindow);
    const text = JSON.stringify(checkpoint);
    if (text === this.#lastCheckpoint) return;
    this.#checkpointedAt = now;
    if (await termStore.record(CHECKPOINT_KEY, checkpoint)) this.#lastCheckpoint = text;
  }

  async #send(termStore: DutyTermStore): Promise<void> {
    const { cloud, log, windowMs, lateMs, disciplinedClock } = this.#options;
    for (const [window, report] of this.#unsent) {
      if (!termStore.term) return;
      if (disciplinedClock.now() > (window + 1) * windowMs + lateMs) {
        log.notable('usage-report-late', { window });
        this.#unsent.delete(window);
        continue;
      }
      await cloud.reportUsage(termStore.term, report);
      this.#unsent.delete(window);
      log.notable('usage-reported', { window, token: termStore.term.fencingToken });
    }
  }

  #currentWindow(): number {
    return Math.floor(this.#options.disciplinedClock.now() / this.#options.windowMs);
  }

  /**
   * Whether all nodes presumed alive have sent their counts of a window, or waiting any longer
   * would risk a late report.
   */
  #isComplete(window: number): boolean {
    const { disciplinedClock, windowMs, lateMs, peers } = this.#options;
    const sinceEnd = disciplinedClock.now() - (window + 1) * windowMs;
    if (sinceEnd < SETTLE_MS) return false;
    return !peers.hasSilentPeer(sinceEnd) || sinceEnd > lateMs * SILENT_PEER_WAIT_SHARE;
  }
}
