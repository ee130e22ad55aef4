/** Range of a stream to read. */
export interface LogRead {
  /** Offset of the first requested record. */
  readonly from: number;
  /** Maximum number of records to return. */
  readonly limit: number;
  /**
   * Maximum time in milliseconds for which the log may hold the request while there are no records.
   */
  readonly waitMs: number;
  /** Aborts the read. */
  readonly signal?: AbortSignal;
}
