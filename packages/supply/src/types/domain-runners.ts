/** Runners of a service in one failure domain, by kind. */
export interface DomainRunners {
  readonly failureDomain: string;
  /** Price per second of an on-demand runner. */
  readonly price: number;
  /** On-demand runners that are ordered or serving. */
  readonly onDemand: number;
  /** Reclaimable runners that are serving and have no reclaim notice. */
  readonly spot: number;
  /** True when reclaimable runners were recently refused or reclaimed here. */
  readonly isSpotRefused: boolean;
}
