/** Range of records that a peer asks for. */
export interface PrefixRange {
  /** Offset of the first record wanted: the asking follower's `next`. */
  readonly from: number;
  /** Largest number of records returned. */
  readonly limit: number;
}
