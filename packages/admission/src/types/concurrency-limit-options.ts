/** Options of an adaptive concurrency limit. */
export interface ConcurrencyLimitOptions {
  /**
   * Initial limit, and upper bound of the limit after recovery.
   * @default 8
   */
  readonly initial?: number;
  /**
   * Minimum limit.
   * @default 1
   */
  readonly floor?: number;
  /**
   * Maximum limit.
   * @default 256
   */
  readonly ceiling?: number;
  /**
   * Latency above this multiple of the windowed minimum counts as congestion.
   * @default 2
   */
  readonly tolerance?: number;
  /**
   * Latencies below this value, in milliseconds, count as this value: variation below it does not
   * indicate congestion.
   * @default 0
   */
  readonly noiseMs?: number;
  /**
   * Length of the window of the minimum latency, in milliseconds.
   * @default 30000
   */
  readonly windowMs?: number;
}
