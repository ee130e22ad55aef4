/** Range of a keyed topic to read. */
export interface KeyedRead {
  readonly topic: string;
  readonly from: number;
  /** Maximum time in milliseconds to wait for a record when none is available yet. */
  readonly waitMs: number;
}
