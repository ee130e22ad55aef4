/** Runners of a service in one failure domain, by kind. */
export interface DomainRunners {
  readonly failureDomain: string;
  /** Price per second of an on-demand runner. */
  readonly price: number;
  /** On-demand runners that are ordered or serve. */
  readonly onDemand: number;
  /** Reclaimable runners that serve and have no notice. */
  readonly spot: number;
  /** Reclaimable runners were refused or reclaimed a short time ago. */
  readonly isSpotRefused: boolean;
}
