/** Range to read. */
export interface LogRead {
  /** Offset of the first record wanted. */
  readonly from: number;
  /** Largest number of records returned. */
  readonly limit: number;
  /** How long the log may hold an empty answer, in milliseconds. */
  readonly waitMs: number;
  /** Ends the read early. */
  readonly signal?: AbortSignal;
}
