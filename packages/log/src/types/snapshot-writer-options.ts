import type { Clock } from '@ragwortrudder/core';
import type { Snapshot } from './snapshot.ts';
import type { SnapshotLocation } from './snapshot-location.ts';
import type { Writer } from './writer.ts';

/** Options of `SnapshotWriter`. */
export interface SnapshotWriterOptions {
  /** Follower whose state is snapshotted. */
  readonly source: {
    readonly caughtUp: boolean;
    readonly next: number;
    readonly newestSnapshot: SnapshotLocation | undefined;
    snapshot(): Snapshot;
  };
  readonly writer: Writer;
  readonly clock: Clock;
  /**
   * Age of the newest snapshot in milliseconds at which the next one is due; must be well below the
   * log's retention.
   * @default 3600000
   */
  readonly maxAgeMs?: number;
  /**
   * Number of records since the newest snapshot at which the next one is due.
   * @default 5000
   */
  readonly maxRecords?: number;
  /**
   * Maximum size of the data of one part in bytes.
   * @default 131072
   */
  readonly partBytes?: number;
  /**
   * Timeout in milliseconds for writing one part.
   * @default 30000
   */
  readonly timeoutMs?: number;
}
