/** Weights of the cost-based routing decision. */
export interface PolicyOptions {
  /**
   * Cost of one millisecond of prompt computation besides its own delay: it holds up other requests.
   * @default 1
   */
  readonly recomputeWeight?: number;
  /**
   * Cost of each request in progress on the runner in milliseconds: it slows every token.
   * @default 2
   */
  readonly streamCostMs?: number;
  /**
   * Part of a prefix that its hash owner is assumed to hold when no hint says so.
   * @default 0.6
   */
  readonly ownerPrior?: number;
  /**
   * A hash owner may carry this multiple of the mean load before the next owner is taken.
   * @default 1.25
   */
  readonly loadBound?: number;
}
