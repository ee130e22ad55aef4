/** What is known of a stream's runner when its progress is judged. */
export interface StreamContext {
  /** Step time from the runner's load report in milliseconds. */
  readonly stepMs?: number;
  /** Requests waiting at the runner from its load report. */
  readonly waiting?: number;
  /** Estimated time to the first token in milliseconds. */
  readonly firstTokenMs?: number;
}
