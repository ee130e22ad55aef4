/** Price of a machine class in a failure domain. */
export interface Price {
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly reclaimable: boolean;
  readonly pricePerHour: number;
}
