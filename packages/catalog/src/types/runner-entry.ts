import type { Address } from './address.ts';

/** Entry that a runner publishes about itself in the list of runners. */
export interface RunnerEntry {
  readonly id: string;
  readonly service: string;
  readonly address: Address;
  readonly failureDomain: string;
  /** Version of the software that the runner runs. */
  readonly version: string;
  readonly slots: number;
  /** True when the runner finishes its current requests and accepts no new ones. */
  readonly isDraining: boolean;
  /** Remaining time for which the runner is cold, in milliseconds, from the moment the entry is read. */
  readonly coldMs: number;
  /** Start of this incarnation of the runner, in milliseconds since the Unix epoch. */
  readonly bornMs: number;
  /** True when the runner's VM can be reclaimed at short notice. */
  readonly isSpot: boolean;
}
