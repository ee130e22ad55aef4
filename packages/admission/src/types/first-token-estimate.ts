/** Expected time to the first token of a request at the best runner for it. */
export interface FirstTokenEstimate {
  /** Time for the work that precedes the request, as far as this node knows of it, in milliseconds. */
  readonly waitMs: number;
  /** Time for the request's own prompt, in milliseconds. */
  readonly prefillMs: number;
}
