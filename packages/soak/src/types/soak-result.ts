import type { PlannedFault } from './planned-fault.ts';
import type { Violation } from './violation.ts';

/** Result of one soak run. */
export interface SoakResult {
  readonly seed: number;
  readonly faults: readonly PlannedFault[];
  readonly requests: number;
  /** Number of responses by HTTP status; `none` counts connections that ended without one. */
  readonly statuses: Readonly<Record<string, number>>;
  /** Peak of each node's memory over its memory before the traffic, in MB. */
  readonly memoryGrowthMb: Readonly<Record<string, number>>;
  /** Longest time for which the soak's own process did not run its timers, in milliseconds. */
  readonly maxLagMs: number;
  readonly violations: readonly Violation[];
  /** Signal that ended the run early. */
  readonly interruptedBy?: NodeJS.Signals;
}
