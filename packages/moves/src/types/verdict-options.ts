/** Thresholds of the verdict on a version. */
export interface VerdictOptions {
  /**
   * Score at which a version is considered bad: the log-likelihood ratio of a single test.
   * @default 13.8 (one million to one)
   */
  readonly badScore?: number;
  /**
   * Score at which a single test prevents the verdict `good`.
   * @default 3
   */
  readonly inDoubtScore?: number;
  /**
   * Minimum number of finished requests before a version can be considered good.
   * @default 20
   */
  readonly minTries?: number;
}
