import type { DutyTerm } from './duty-term.ts';
import type { ScaleOrder } from './scale-order.ts';
import type { UsageReport } from './usage-report.ts';

/**
 * Platform API calls that only the current duty holder makes. Each call carries the holder's term,
 * so that the platform can fence off older holders.
 */
export interface CloudApi {
  /** Reports the usage of one window; throws when the platform did not accept it. */
  reportUsage(term: DutyTerm, report: UsageReport): Promise<void>;
  /** Requests a number of runners; resolves to false when the platform has no capacity at the moment. */
  orderRunners(term: DutyTerm, order: ScaleOrder): Promise<boolean>;
}
