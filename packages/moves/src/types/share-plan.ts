/** Part of the traffic that a new version may get now. */
export interface SharePlan {
  /** Part of the requests, 0 to 1. */
  readonly share: number;
  /** Index of the stage; 0 is the first proof. */
  readonly stage: number;
  /** Requests to the new version that this node may have in flight. */
  readonly maxInFlight: number;
  /** Requests to the new version, over all nodes, until the next stage. */
  readonly maxRequests: number;
  /** Final word that is due, when there is one. */
  readonly due?: 'done' | 'undone';
  readonly reason: string;
}
