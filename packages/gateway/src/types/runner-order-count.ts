/** Number of runners of one kind that a service is to have in a failure domain. */
export interface RunnerOrderCount {
  readonly service: string;
  readonly failureDomain: string;
  readonly count: number;
  readonly isSpot: boolean;
}
