/** Options of an exponential backoff. */
export interface BackoffOptions {
  /**
   * Delay after the first failure in milliseconds, before jitter.
   * @default 100
   */
  readonly firstMs?: number;
  /**
   * Maximum delay in milliseconds.
   * @default 5000
   */
  readonly maxMs?: number;
}
