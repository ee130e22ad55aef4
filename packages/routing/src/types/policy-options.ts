/** Weights of the cost-based routing decision. */
export interface PolicyOptions {
  /**
   * Additional cost of one millisecond of prefill beyond its own delay, because prefill delays
   * other requests on the same runner.
   * @default 1
   */
  readonly recomputeWeight?: number;
  /**
   * Cost in milliseconds of each request in progress on the runner, because it slows down every
   * decoding step.
   * @default 2
   */
  readonly streamCostMs?: number;
  /**
   * Fraction of a prefix that its hash owner is assumed to have cached when no cache event
   * confirms it.
   * @default 0.6
   */
  readonly ownerPrior?: number;
  /**
   * A hash owner may have up to this multiple of the mean load before the next owner in hash
   * order is used.
   * @default 1.25
   */
  readonly loadBound?: number;
}
