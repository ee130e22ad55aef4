import type { Random } from '@ragwortrudder/core';
import type { BackoffOptions } from './backoff-options.ts';
import type { Log } from './log.ts';
import type { StreamReader } from './stream-reader.ts';

/** Options of `GroupCommit`. */
export interface GroupCommitOptions {
  readonly log: Log;
  /** Follower of the same stream, which confirms writes. */
  readonly follower: StreamReader;
  readonly random: Random;
  /**
   * Maximum number of entries queued for an append.
   * @default 8192
   */
  readonly maxQueued?: number;
  /**
   * Maximum total size of the entries queued for an append, in bytes of JSON.
   * @default 8388608
   */
  readonly maxQueuedBytes?: number;
  /**
   * Maximum number of entries in one append; at most 1024.
   * @default 1024
   */
  readonly maxBatch?: number;
  /**
   * Maximum size of a record in bytes of JSON.
   * @default 262144
   */
  readonly recordLimitBytes?: number;
  /**
   * Time in milliseconds after which a write is abandoned, unless its own options set one.
   * @default 10000
   */
  readonly timeoutMs?: number;
  /** Backoff between appends while the log is unavailable. */
  readonly backoff?: BackoffOptions;
}
