/** Options of a token bucket. */
export interface TokenBucketOptions {
  readonly ratePerSecond: number;
  /**
   * Maximum number of accumulated tokens.
   * @default 1
   */
  readonly burst?: number;
}
