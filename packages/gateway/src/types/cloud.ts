import type { DutyTerm } from './duty-term.ts';
import type { RunnerOrderCount } from './runner-order-count.ts';
import type { UsageReport } from './usage-report.ts';

/** Calls to the platform that one node makes at a time; each carries the term under which it is made. */
export interface Cloud {
  /** Reports what ran in a window; throws when the platform did not take it. */
  reportUsage(term: DutyTerm, report: UsageReport): Promise<void>;
  /** Orders a number of runners; false when none are to be had now. */
  orderRunners(term: DutyTerm, order: RunnerOrderCount): Promise<boolean>;
}
