/** Desired number of runners of each kind in a failure domain. */
export interface RunnerPlan {
  readonly failureDomain: string;
  readonly spot: number;
  readonly onDemand: number;
}
