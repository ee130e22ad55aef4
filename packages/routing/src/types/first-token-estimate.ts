/** Expected time to the first token, by part, in milliseconds. */
export interface FirstTokenEstimate {
  /** Work ahead in the runner's queue. */
  readonly queueMs: number;
  /** Computation of the prompt tokens that are not cached. */
  readonly prefillMs: number;
  readonly networkMs: number;
  readonly totalMs: number;
  /** Tokens expected to be reused. */
  readonly cachedTokens: number;
  /** Tokens expected to be computed. */
  readonly computedTokens: number;
}
