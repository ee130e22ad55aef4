import type { CheckerOptions, checkers } from '@ragwortrudder/history';
import type { FleetOptions } from '@ragwortrudder/standins';
import type { ProofEnvironment } from '../node/proof-environment.ts';

/** Proof of one promise: a deployment, and a run under faults whose history is checked. */
export interface Proof {
  /** Number of the promise. */
  readonly promise: number;
  readonly name: string;
  /** Names of the checkers applied to the history. */
  readonly checkers: readonly (keyof typeof checkers)[];
  /**
   * Bounds for the checkers.
   * @default the default bounds of the checkers
   */
  readonly bounds?: CheckerOptions;
  readonly fleet: FleetOptions;
  /** Sends requests and injects faults. */
  run(environment: ProofEnvironment): Promise<void>;
}
