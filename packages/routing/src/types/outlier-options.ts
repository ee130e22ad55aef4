/** Options of the detection of failing and slow runners. */
export interface OutlierOptions {
  /**
   * Failures in a row after which a runner is set aside.
   * @default 5
   */
  readonly maxConsecutiveFailures?: number;
  /**
   * Failure rate above which a runner is set aside.
   * @default 0.5
   */
  readonly maxFailureRate?: number;
  /**
   * A runner slower than this multiple of its peers' median is set aside.
   * @default 3
   */
  readonly maxSlowness?: number;
  /**
   * Requests needed before rate or slowness is judged.
   * @default 10
   */
  readonly minRequests?: number;
  /**
   * First time aside in milliseconds; doubles with each return that fails.
   * @default 5000
   */
  readonly baseAsideMs?: number;
  /**
   * Longest time aside in milliseconds.
   * @default 300000
   */
  readonly maxAsideMs?: number;
  /**
   * Time between trial requests while a runner is let back in, in milliseconds.
   * @default 500
   */
  readonly trialPeriodMs?: number;
  /**
   * Successful trials after which a runner is back in use.
   * @default 3
   */
  readonly trials?: number;
  /**
   * Greatest part of the runners that may be set aside at once.
   * @default 1/3
   */
  readonly maxAsideShare?: number;
}
