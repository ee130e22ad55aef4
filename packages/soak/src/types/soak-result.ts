import type { PlannedFault } from './planned-fault.ts';
import type { Violation } from './violation.ts';

/** What one run of the soak saw. */
export interface SoakResult {
  readonly seed: number;
  readonly faults: readonly PlannedFault[];
  readonly requests: number;
  /** Answers by status; `none` where the connection ended without one. */
  readonly statuses: Readonly<Record<string, number>>;
  readonly violations: readonly Violation[];
}
