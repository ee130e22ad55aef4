/** A runner that is expected to have the first tokens of a prompt in its prefix cache. */
export interface PrefixHolder {
  readonly runnerId: string;
  /**
   * Tokens expected to be reused, weighted by the confidence in the index of the runner's cache.
   */
  readonly cachedTokens: number;
}
