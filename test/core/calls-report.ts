/** What calls took from the process that made them. */
export interface CallsReport {
  /** Growth of the process, in bytes. */
  readonly growthBytes: number;
  /** Time until the last call had ended. */
  readonly tookMs: number;
  /** Calls that ended with a failure. */
  readonly failed: number;
  /** Longest delay of a timer. */
  readonly maxDelayMs: number;
  /** Sound calls that were made beside the others. */
  readonly soundCalls: number;
  /** Time of the slowest sound call. */
  readonly maxSoundMs: number;
}
