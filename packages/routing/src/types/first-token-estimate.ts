/** Expected time to the first token and its components, in milliseconds. */
export interface FirstTokenEstimate {
  /** Time for the work queued ahead of the request at the runner. */
  readonly queueMs: number;
  /** Time to compute the prompt tokens that are not cached. */
  readonly prefillMs: number;
  readonly networkMs: number;
  readonly totalMs: number;
  /** Prompt tokens expected to be reused from the cache. */
  readonly cachedTokens: number;
  /** Prompt tokens expected to be computed. */
  readonly computedTokens: number;
}
