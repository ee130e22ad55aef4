/** Options of a token bucket. */
export interface TokenBucketOptions {
  readonly ratePerSecond: number;
  /**
   * Greatest number of tokens saved up.
   * @default 1
   */
  readonly burst?: number;
}
