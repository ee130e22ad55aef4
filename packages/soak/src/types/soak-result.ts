import type { PlannedFault } from './planned-fault.ts';
import type { Violation } from './violation.ts';

/** Result of one soak run. */
export interface SoakResult {
  readonly seed: number;
  readonly faults: readonly PlannedFault[];
  readonly requests: number;
  /** Number of responses by HTTP status; `none` counts connections that ended without one. */
  readonly statuses: Readonly<Record<string, number>>;
  readonly violations: readonly Violation[];
  /** Signal that ended the run early. */
  readonly interruptedBy?: NodeJS.Signals;
}
