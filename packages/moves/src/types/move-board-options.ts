import type { Clock, Random } from '@ragwortrudder/core';
import type { VerdictOptions } from './verdict-options.ts';

/** Options of the moves of one node. */
export interface MoveBoardOptions {
  readonly nodeId: string;
  readonly clock: Clock;
  readonly random: Random;
  /** Identifiers of the nodes that are alive, this one included. */
  readonly nodeIds: () => readonly string[];
  readonly verdict?: VerdictOptions;
}
