/** Options of outlier detection, which ejects failing and slow runners. */
export interface OutlierOptions {
  /**
   * Consecutive failures after which a runner is ejected.
   * @default 5
   */
  readonly maxConsecutiveFailures?: number;
  /**
   * Failure rate above which a runner is ejected.
   * @default 0.5
   */
  readonly maxFailureRate?: number;
  /**
   * A runner whose latency exceeds this multiple of its peers' median is ejected.
   * @default 3
   */
  readonly maxSlowness?: number;
  /**
   * Requests needed before the failure rate or latency is evaluated.
   * @default 10
   */
  readonly minRequests?: number;
  /**
   * Duration of the first ejection in milliseconds; doubles each time readmission fails.
   * @default 5000
   */
  readonly baseEjectionMs?: number;
  /**
   * Maximum duration of an ejection in milliseconds.
   * @default 300000
   */
  readonly maxEjectionMs?: number;
  /**
   * Interval between trial requests while a runner is half-open, in milliseconds.
   * @default 500
   */
  readonly trialPeriodMs?: number;
  /**
   * Successful trials after which the circuit of a runner closes.
   * @default 3
   */
  readonly trials?: number;
  /**
   * Maximum fraction of the runners that may be ejected at the same time.
   * @default 1/3
   */
  readonly maxEjectedShare?: number;
}
