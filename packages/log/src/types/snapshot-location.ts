/** Location of a complete snapshot in the stream. */
export interface SnapshotLocation {
  /** Offset of the first record that the snapshot does not cover. */
  readonly next: number;
  /** Offset of the record that contains the snapshot's first part. */
  readonly offset: number;
  /** Timestamp of that record in milliseconds since the Unix epoch. */
  readonly time: number;
}
