/** Desired number of runners of one kind (spot or on-demand) for a service in a failure domain. */
export interface ScaleOrder {
  readonly service: string;
  readonly failureDomain: string;
  readonly count: number;
  readonly isSpot: boolean;
}
