/** Range of a keyed topic to read. */
export interface KeyedRead {
  readonly topic: string;
  readonly from: number;
  /** How long to wait for a record when there is none yet, in milliseconds. */
  readonly waitMs: number;
}
