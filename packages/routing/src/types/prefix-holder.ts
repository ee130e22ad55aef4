/** A runner that is believed to hold the first tokens of a prompt in its cache. */
export interface PrefixHolder {
  readonly runnerId: string;
  /** Expected tokens that need not be computed, weighted by the trust in the runner's hints. */
  readonly cachedTokens: number;
}
