/** Serialized state of a stream at one offset. */
export interface Snapshot {
  /** Offset of the first record that the snapshot does not cover. */
  readonly next: number;
  /** Chained hash of the stream before `next`. */
  readonly hash: string;
  /** JSON data of the state. */
  readonly data: unknown;
}
