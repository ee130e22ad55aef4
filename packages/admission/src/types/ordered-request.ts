/** What the order of requests knows about one of them. */
export interface OrderedRequest {
  /** Priority of the team, or else of the route; 0 is the most urgent. */
  readonly priority: number;
  /** Target latency in milliseconds; for streams, of the first event. */
  readonly latencyTargetMs: number;
  /** Monotonic time of the arrival, in milliseconds. */
  readonly arrivedAt: number;
  /** Monotonic time of the deadline, in milliseconds. */
  readonly deadlineAt: number;
  /** Prompt tokens that no runner has cached. */
  readonly prefillTokens: number;
  /** Maximum number of output tokens. */
  readonly outputTokens: number;
  /** Team of the caller; undefined for a public route. */
  readonly team: string | undefined;
}
