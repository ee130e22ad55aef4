/** Bound on the requests that a cold runner receives in a second, over all nodes. */
export interface ColdBound {
  /** Factor of the runner's cold limit. */
  readonly overage: number;
  /** Requests beyond that. */
  readonly slack: number;
}
