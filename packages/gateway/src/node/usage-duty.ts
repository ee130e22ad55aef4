import * as z from 'zod';
import { Amount } from '../types/amount.ts';
import { BoundedText } from '../types/bounded-text.ts';
import type { CloudApi } from '../types/cloud-api.ts';
import type { Duty } from '../types/duty.ts';
import { Ordinal } from '../types/ordinal.ts';
import { UsageCheckpoint } from '../types/usage-checkpoint.ts';
import type { UsageReport } from '../types/usage-report.ts';
import { schemaProblem } from '../utils/schema-problem.ts';
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

/** Under which rejected records are logged. */
const DUTY_TOPIC = 'duties';
const KEY_PREFIX = 'usage-';
const CHECKPOINT_KEY = 'draft-of-usage';
const SKIPPED_KEY = 'skipped-usage';
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

const RecordedSkip = z.object({ before: Ordinal });
const RecordedReport = z.object({ window: Ordinal, counts: z.record(BoundedText, Amount) });

/**
 * Reports usage by window. Final counts are recorded before they are sent, so that every report of a
 * window carries the same counts. Checkpoints of the running counts let open windows survive the loss
 * of the nodes that counted them.
 */
export class UsageDuty implements Duty {
  readonly #options: UsageDutyOptions;
  readonly #unsent = new Map<number, UsageReport>();
  #nextWindow = 0;
  /** Windows before it are reported by no later holder; undefined once that is recorded. */
  #unrecordedSkip: number | undefined;
  #checkpointedAt = -Infinity;
  #lastCheckpoint = '';

  constructor(options: UsageDutyOptions) {
    this.#options = options;
  }

  begin(termStore: DutyTermStore): void {
    this.#applyCheckpoint(termStore.records.get(CHECKPOINT_KEY));
    const current = this.#currentWindow();
    const reports = this.#recordedReports(termStore, current);
    const oldestDue = current - Math.ceil(this.#options.lateMs / this.#options.windowMs);
    const newest = Math.max(0, ...reports.map(({ window }) => window));
    const skippedBefore = this.#recordedSkip(termStore, current);
    this.#nextWindow = Math.max(oldestDue, newest + 1, skippedBefore);
    this.#unrecordedSkip = undefined;
    if (termStore.mayLackRecords) {
      // A window that has ended may have been reported with counts that are lost.
      this.#options.log.notable('usage-windows-skipped', { from: this.#nextWindow, to: current });
      this.#nextWindow = Math.max(this.#nextWindow, current);
      this.#unrecordedSkip = this.#nextWindow;
    }
    this.#unsent.clear();
    for (const report of reports)
      if (report.window >= oldestDue) this.#unsent.set(report.window, report);
  }

  async perform(termStore: DutyTermStore): Promise<void> {
    if (!(await this.#recordSkip(termStore))) return;
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

  /** Records which windows later holders must not report; returns false when the term is lost. */
  async #recordSkip(termStore: DutyTermStore): Promise<boolean> {
    if (this.#unrecordedSkip === undefined) return true;
    const skip = { before: this.#unrecordedSkip };
    if (!(await termStore.record(SKIPPED_KEY, skip))) return false;
    this.#unrecordedSkip = undefined;
    return true;
  }

  /** First window that earlier holders have left to be reported; 0 when they have skipped none. */
  #recordedSkip({ records }: DutyTermStore, current: number): number {
    const value = records.get(SKIPPED_KEY);
    if (value === undefined) return 0;
    const { data: skip, error } = RecordedSkip.safeParse(value);
    if (skip && skip.before <= current + KEPT_REPORTS) return skip.before;
    this.#reject(SKIPPED_KEY, error ? schemaProblem(error) : 'window: far ahead');
    return 0;
  }

  #applyCheckpoint(value: unknown): void {
    if (value === undefined) return;
    const { data: checkpoint, error } = UsageCheckpoint.safeParse(value);
    if (checkpoint) this.#options.usage.mergeCheckpoint(checkpoint);
    else this.#reject(CHECKPOINT_KEY, schemaProblem(error));
  }

  /** Reports that holders have recorded. One of a window far ahead would end all reports until then. */
  #recordedReports({ records }: DutyTermStore, current: number): readonly UsageReport[] {
    const reports: UsageReport[] = [];
    for (const [key, value] of records) {
      if (!key.startsWith(KEY_PREFIX)) continue;
      const { data: report, error } = RecordedReport.safeParse(value);
      if (!report) this.#reject(key, schemaProblem(error));
      else if (report.window > current + KEPT_REPORTS) this.#reject(key, 'window: far ahead');
      else reports.push(report);
    }
    return reports;
  }

  #reject(key: string, cause: string): void {
    this.#options.log.rejected({ topic: DUTY_TOPIC, key, cause });
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
      if (!(await termStore.confirm()) || !termStore.term) return;
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
