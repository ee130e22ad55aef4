/** Bounds and prices for ordering runners of a service. */
export interface ScaleBounds {
  /** Minimum number of runners per failure domain, spot and on-demand together. */
  readonly min: number;
  /** Maximum number of runners per failure domain, spot and on-demand together. */
  readonly max: number;
  /** Time from an order until the runner serves requests, in milliseconds. */
  readonly startupMs: number;
  /**
   * Price of a spot runner as a fraction of the on-demand price; absent when spot runners cannot be
   * ordered.
   */
  readonly spotPrice?: number;
  /** Price per second of an on-demand runner, by failure domain. */
  readonly prices: Readonly<Record<string, number>>;
}
