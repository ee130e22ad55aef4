import type { Clock, Random } from '@ragwortrudder/core';
import type { BackoffOptions } from './backoff-options.ts';
import type { Fold } from './fold.ts';
import type { Log } from './log.ts';

/** Options of a log follower. */
export interface LogFollowerOptions<S> {
  readonly log: Log;
  readonly fold: Fold<S>;
  readonly clock: Clock;
  readonly random: Random;
  /**
   * How long one read waits for new records, in milliseconds.
   * @default 2000
   */
  readonly pollWaitMs?: number;
  /**
   * Largest number of records of one read.
   * @default 200
   */
  readonly pageRecords?: number;
  /**
   * Number of newest records kept for peers.
   * @default 1024
   */
  readonly tailRecords?: number;
  /**
   * Size of the records kept for peers, in characters of JSON.
   * @default 2097152
   */
  readonly tailBytes?: number;
  /** Delays between reads while the log is out. */
  readonly backoff?: BackoffOptions;
}
