/** Data about a stream's runner that is used to check the stream's progress. */
export interface StreamContext {
  /** Decoding step time from the runner's load report, in milliseconds. */
  readonly stepMs?: number;
  /** Requests waiting at the runner according to its load report. */
  readonly waiting?: number;
  /** Estimated time to the first token in milliseconds. */
  readonly firstTokenMs?: number;
}
