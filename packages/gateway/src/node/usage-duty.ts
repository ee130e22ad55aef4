import type { Cloud } from '../types/cloud.ts';
import type { Duty } from '../types/duty.ts';
import { UsageDraft } from '../types/usage-draft.ts';
import type { UsageReport } from '../types/usage-report.ts';
import type { UsageCounter } from '../utils/usage-counter.ts';
import type { DecisionLog } from './decision-log.ts';
import type { DutyBoard } from './duty-board.ts';
import type { Peers } from './peers.ts';

interface UsageDutyOptions {
  readonly cloud: Cloud;
  readonly usage: UsageCounter;
  readonly peers: Pick<Peers, 'isMissingSince'>;
  readonly trueTime: { now(): number };
  readonly log: DecisionLog;
  readonly windowMs: number;
  /** Time after a window's end within which its usage is due, in milliseconds. */
  readonly lateMs: number;
}

const KEY_PREFIX = 'usage-';
const DRAFT_KEY = 'draft-of-usage';
/** Least time between two records of running counts, in milliseconds: what is lost when all nodes are killed. */
const DRAFT_PERIOD_MS = 1_000;
/** Windows whose decided counts are kept: more than can be due at once. */
const KEPT_REPORTS = 8;
/** Time after a window's end after which all nodes have told their counts, in milliseconds. */
const SETTLE_MS = 1_500;
/** Part of the time until a report is due for which counts of silent peers are waited for. */
const WAIT_SHARE = 0.6;

function isReport(value: unknown): value is UsageReport {
  const report = value as Partial<UsageReport> | undefined;
  return typeof report?.window === 'number' && typeof report.counts === 'object';
}

/**
 * Reports usage by window. Counts are recorded before they are sent, so that no window gets two; the
 * running counts of open windows are recorded as well, so that they outlive the nodes that made them.
 */
export class UsageDuty implements Duty {
  readonly #options: UsageDutyOptions;
  readonly #unsent = new Map<number, UsageReport>();
  #nextWindow = 0;
  #draftedAt = -Infinity;
  #drafted = '';

  constructor(options: UsageDutyOptions) {
    this.#options = options;
  }

  begin(board: DutyBoard): void {
    const draft = UsageDraft.safeParse(board.records.get(DRAFT_KEY)).data;
    if (draft) this.#options.usage.join(draft);
    const reports = [...board.records.values()].filter(isReport);
    const current = this.#currentWindow();
    const oldestDue = current - Math.ceil(this.#options.lateMs / this.#options.windowMs);
    const newest = Math.max(0, ...reports.map(({ window }) => window));
    this.#nextWindow = Math.max(oldestDue, newest + 1);
    this.#unsent.clear();
    for (const report of reports)
      if (report.window >= oldestDue) this.#unsent.set(report.window, report);
  }

  async perform(board: DutyBoard): Promise<void> {
    while (this.#isSettled(this.#nextWindow)) {
      const report = this.#options.usage.reportOf(this.#nextWindow);
      if (Object.keys(report.counts).length > 0) {
        const isHeld = await board.record(`${KEY_PREFIX}${report.window % KEPT_REPORTS}`, report);
        if (!isHeld) return;
        this.#unsent.set(report.window, report);
      }
      this.#nextWindow += 1;
    }
    await this.#send(board);
    await this.#draft(board);
  }

  async #draft(board: DutyBoard): Promise<void> {
    const { usage, trueTime } = this.#options;
    const now = trueTime.now();
    if (Math.abs(now - this.#draftedAt) < DRAFT_PERIOD_MS) return;
    const draft = usage.draftFrom(this.#nextWindow);
    const text = JSON.stringify(draft);
    if (text === this.#drafted) return;
    this.#draftedAt = now;
    if (await board.record(DRAFT_KEY, draft)) this.#drafted = text;
  }

  async #send(board: DutyBoard): Promise<void> {
    const { cloud, log, windowMs, lateMs, trueTime } = this.#options;
    for (const [window, report] of this.#unsent) {
      if (!board.term) return;
      if (trueTime.now() > (window + 1) * windowMs + lateMs) {
        log.notable('usage-report-late', { window });
        this.#unsent.delete(window);
        continue;
      }
      await cloud.reportUsage(board.term, report);
      this.#unsent.delete(window);
      log.notable('usage-reported', { window, token: board.term.fencingToken });
    }
  }

  #currentWindow(): number {
    return Math.floor(this.#options.trueTime.now() / this.#options.windowMs);
  }

  /** All nodes that seem alive have told their counts of a window, or there is no more time to wait. */
  #isSettled(window: number): boolean {
    const { trueTime, windowMs, lateMs, peers } = this.#options;
    const sinceEnd = trueTime.now() - (window + 1) * windowMs;
    if (sinceEnd < SETTLE_MS) return false;
    return !peers.isMissingSince(sinceEnd) || sinceEnd > lateMs * WAIT_SHARE;
  }
}
