/** Options of the judgement of a version. */
export interface VerdictOptions {
  /**
   * Score at which a version counts as bad: the logarithm of the likelihood ratio of one test.
   * @default 13.8 (one million to one)
   */
  readonly badScore?: number;
  /**
   * Score at which a test holds back the word that a version is good.
   * @default 3
   */
  readonly openScore?: number;
  /**
   * Requests that a version must have answered to count as good.
   * @default 20
   */
  readonly minTries?: number;
}
