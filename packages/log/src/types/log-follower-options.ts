import type { Clock, Random } from '@ragwortrudder/core';
import type { BackoffOptions } from './backoff-options.ts';
import type { Fold } from './fold.ts';
import type { Log } from './log.ts';
import type { RejectedRecord } from './rejected-record.ts';

/** Options of `LogFollower`. */
export interface LogFollowerOptions<S> {
  readonly log: Log;
  readonly fold: Fold<S>;
  readonly clock: Clock;
  readonly random: Random;
  /**
   * Maximum time in milliseconds for which one read waits for new records.
   * @default 2000
   */
  readonly pollWaitMs?: number;
  /**
   * Maximum number of records per read.
   * @default 200
   */
  readonly pageRecords?: number;
  /**
   * Number of recent records retained for export to peers.
   * @default 1024
   */
  readonly tailRecords?: number;
  /**
   * Maximum total size of the records retained for export to peers, in characters of JSON.
   * @default 2097152
   */
  readonly tailBytes?: number;
  /**
   * Called for a record or an entry that is passed over, because it is nested too deeply or cannot be
   * folded; every node passes over the same ones.
   */
  readonly onRejected?: (rejected: RejectedRecord) => void;
  /** Backoff between reads while the log is unavailable. */
  readonly backoff?: BackoffOptions;
}
