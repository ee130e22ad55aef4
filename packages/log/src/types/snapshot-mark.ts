/** Newest complete snapshot that a follower saw in the stream. */
export interface SnapshotMark {
  /** Offset of the first record that the snapshot does not cover. */
  readonly next: number;
  /** Offset of the record with the snapshot's first part. */
  readonly offset: number;
  /** Time of that record in milliseconds since the Unix epoch. */
  readonly time: number;
}
