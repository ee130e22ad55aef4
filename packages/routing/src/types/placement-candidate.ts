/** Runner that a request could be sent to, with this node's current data about its load. */
export interface PlacementCandidate {
  readonly id: string;
  readonly failureDomain: string;
  /** Requests that the runner processes concurrently. */
  readonly slots: number;
  /** Requests that this node knows to be in flight at the runner. */
  readonly inFlight: number;
  /** Prompt tokens of the requests at the runner that have not produced a first token yet. */
  readonly prefillTokens: number;
  /** KV cache tokens of the requests at the runner. */
  readonly kvTokens: number;
  /** Capacity of the runner's KV cache in tokens; 0 when it has none. */
  readonly kvCapacityTokens: number;
  /** Ratio of the runner's measured latency to the expected latency; 1 is as expected. */
  readonly slowness: number;
  /**
   * The runner is the home of the request's session among all runners. Stated by all candidates of a
   * request or by none, when the home is to be chosen among the candidates.
   */
  readonly isHome?: boolean;
}
