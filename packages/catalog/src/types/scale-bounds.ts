/** Bounds and prices of the runners of a service that can be ordered. */
export interface ScaleBounds {
  /** Fewest runners per failure domain, of both kinds together. */
  readonly min: number;
  /** Most runners per failure domain, of both kinds together. */
  readonly max: number;
  /** Time from an order to a runner that serves, in milliseconds. */
  readonly startupMs: number;
  /** Price of a reclaimable runner as a share of the on-demand price; absent when none can be ordered. */
  readonly spotPrice?: number;
  /** Price per second of an on-demand runner by failure domain. */
  readonly prices: Readonly<Record<string, number>>;
}
