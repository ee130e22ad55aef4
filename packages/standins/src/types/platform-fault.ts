import type { FaultMode } from './fault-mode.ts';
import type { FaultTarget } from './fault-target.ts';

/** Fault of one interface of the platform. */
export interface PlatformFault {
  readonly target: FaultTarget;
  readonly mode: FaultMode;
  /**
   * Delay of each answer in milliseconds in mode `slow`.
   * @default 1000
   */
  readonly delayMs?: number | undefined;
  /** Number of calls that meet the fault; without it the fault lasts until replaced. */
  readonly count?: number | undefined;
}
