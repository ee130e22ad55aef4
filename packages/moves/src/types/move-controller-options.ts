import type { Clock, Random } from '@ragwortrudder/core';
import type { VerdictOptions } from './verdict-options.ts';

/** Options of the version moves of one node. */
export interface MoveControllerOptions {
  readonly nodeId: string;
  readonly clock: Clock;
  readonly random: Random;
  /** Identifiers of the nodes that are alive, including this one. */
  readonly nodeIds: () => readonly string[];
  readonly verdict?: VerdictOptions;
}
