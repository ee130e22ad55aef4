/** Range of records that a peer requests. */
export interface PrefixRange {
  /** Offset of the first requested record: the requesting follower's `next`. */
  readonly from: number;
  /** Maximum number of records to return. */
  readonly limit: number;
}
