/** Runner that a request could be sent to, with what this node knows of it. */
export interface PlacementCandidate {
  readonly id: string;
  readonly failureDomain: string;
  /** Requests that the runner works on at once. */
  readonly slots: number;
  /** Requests that are known to be at the runner. */
  readonly inFlight: number;
  /** Prompt tokens at the runner whose requests have no first token yet. */
  readonly prefillTokens: number;
  /** Tokens of the requests at the runner. */
  readonly kvTokens: number;
  /** Tokens that the runner's KV cache holds; 0 when it has none. */
  readonly kvCapacityTokens: number;
  /** How slow the runner is against what was expected of it; 1 is as expected. */
  readonly slowness: number;
}
