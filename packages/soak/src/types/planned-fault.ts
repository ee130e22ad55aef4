import type { FaultKind } from './fault-kind.ts';

/** A fault scheduled in a soak. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** Start, in milliseconds after the traffic starts. */
  readonly atMs: number;
  /** Duration in milliseconds; 0 for an instantaneous fault. */
  readonly forMs: number;
  /** Index of the affected node or runner, starting at 0. */
  readonly target: number;
  /** Name of the bytes that are sent without end. */
  readonly variant?: string;
}
