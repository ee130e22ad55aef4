/** Share of the traffic that a new version may currently receive. */
export interface SharePlan {
  /** Fraction of the requests, 0 to 1. */
  readonly share: number;
  /** Index of the rollout stage; 0 is the initial canary stage. */
  readonly stage: number;
  /** Maximum number of concurrent requests from this node to the new version. */
  readonly maxInFlight: number;
  /** Maximum number of requests to the new version, over all nodes, until the next stage. */
  readonly maxRequests: number;
  /** Decision that is due now, if any. */
  readonly due?: 'done' | 'undone';
  readonly reason: string;
}
