/** Work in flight on a runner. */
export interface InFlightWork {
  readonly requests: number;
  /** Prompt tokens still to be computed before the first tokens of these requests. */
  readonly prefillTokens: number;
}
