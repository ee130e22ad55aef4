import type { Random } from '@ragwortrudder/core';
import type { BackoffOptions } from './backoff-options.ts';
import type { Log } from './log.ts';
import type { ReadBack } from './read-back.ts';

/** Options of a group commit. */
export interface GroupCommitOptions {
  readonly log: Log;
  /** Follower of the same stream. */
  readonly follower: ReadBack;
  readonly random: Random;
  /**
   * Largest number of entries that wait for an append.
   * @default 8192
   */
  readonly maxQueued?: number;
  /**
   * Largest size of the entries that wait for an append, in bytes of JSON.
   * @default 8388608
   */
  readonly maxQueuedBytes?: number;
  /**
   * Largest number of entries of one append; at most 1024.
   * @default 1024
   */
  readonly maxBatch?: number;
  /**
   * Largest size of a record in bytes of JSON.
   * @default 262144
   */
  readonly recordLimitBytes?: number;
  /**
   * Time in milliseconds after which a write is abandoned, unless it states its own.
   * @default 10000
   */
  readonly timeoutMs?: number;
  /** Delays between appends while the log is out. */
  readonly backoff?: BackoffOptions;
}
