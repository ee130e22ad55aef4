import type { Clock } from '@ragwortrudder/core';
import type { Snapshot } from './snapshot.ts';
import type { SnapshotMark } from './snapshot-mark.ts';
import type { Writer } from './writer.ts';

/** Options of a snapshot writer. */
export interface SnapshotWriterOptions {
  /** Follower whose state is written. */
  readonly source: {
    readonly caughtUp: boolean;
    readonly next: number;
    readonly newestSnapshot: SnapshotMark | undefined;
    snapshot(): Snapshot;
  };
  readonly writer: Writer;
  readonly clock: Clock;
  /**
   * Age in milliseconds of the newest snapshot from which another is written; well below the log's retention.
   * @default 3600000
   */
  readonly maxAgeMs?: number;
  /**
   * Number of records since the newest snapshot from which another is written.
   * @default 5000
   */
  readonly maxRecords?: number;
  /**
   * Largest size of a part's data in bytes.
   * @default 131072
   */
  readonly partBytes?: number;
  /**
   * Time in milliseconds to write one part.
   * @default 30000
   */
  readonly timeoutMs?: number;
}
