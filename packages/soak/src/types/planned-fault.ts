import type { FaultKind } from './fault-kind.ts';

/** One fault of a soak. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** Start, in milliseconds from the start of the traffic. */
  readonly atMs: number;
  /** Length in milliseconds; 0 for what happens at once. */
  readonly forMs: number;
  /** Node or runner that it strikes, counted from 0. */
  readonly target: number;
}
