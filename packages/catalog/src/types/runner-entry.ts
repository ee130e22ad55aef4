import type { Address } from './address.ts';

/** What a runner says of itself in the list of runners. */
export interface RunnerEntry {
  readonly id: string;
  readonly service: string;
  readonly address: Address;
  readonly failureDomain: string;
  /** Version of the software that the runner serves. */
  readonly version: string;
  readonly slots: number;
  /** The runner finishes what it has and takes nothing new. */
  readonly isDraining: boolean;
  /** How much longer the runner stays slow after its start, in milliseconds. */
  readonly coldMs: number;
  /** Start of this life of the runner, in milliseconds since the Unix epoch. */
  readonly bornMs: number;
  /** The runner can be reclaimed at short notice. */
  readonly isSpot: boolean;
}
