/** Requests in flight on a runner and their remaining prefill work. */
export interface InFlightWork {
  readonly requests: number;
  /** Prompt tokens still to be computed before these requests produce their first tokens. */
  readonly prefillTokens: number;
}
