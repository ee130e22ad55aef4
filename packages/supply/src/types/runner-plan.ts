/** Number of runners of each kind that a failure domain is to have. */
export interface RunnerPlan {
  readonly failureDomain: string;
  readonly spot: number;
  readonly onDemand: number;
}
