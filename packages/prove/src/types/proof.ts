import type { CheckerOptions, checkers } from '@ragwortrudder/history';
import type { FleetOptions } from '@ragwortrudder/standins';
import type { Stage } from '../node/stage.ts';

/** Proof of one promise: a deployment, and a run under faults whose history is judged. */
export interface Proof {
  /** Number of the promise. */
  readonly promise: number;
  readonly name: string;
  /** Checkers that judge the history. */
  readonly checkers: readonly (keyof typeof checkers)[];
  /** @default the default bounds */
  readonly bounds?: CheckerOptions;
  readonly fleet: FleetOptions;
  /** Sends requests and brings about faults. */
  run(stage: Stage): Promise<void>;
}
