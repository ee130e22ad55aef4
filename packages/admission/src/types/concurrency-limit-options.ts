/** Options of an adaptive concurrency limit. */
export interface ConcurrencyLimitOptions {
  /**
   * Limit at the start and after recovery.
   * @default 8
   */
  readonly initial?: number;
  /**
   * Smallest limit.
   * @default 1
   */
  readonly floor?: number;
  /**
   * Largest limit.
   * @default 256
   */
  readonly ceiling?: number;
  /**
   * Latency above this multiple of the windowed minimum counts as congestion.
   * @default 2
   */
  readonly tolerance?: number;
  /**
   * Latencies below this one, in milliseconds, count as this one: their spread says nothing about congestion.
   * @default 0
   */
  readonly noiseMs?: number;
  /**
   * Window of the minimum latency in milliseconds.
   * @default 30000
   */
  readonly windowMs?: number;
}
