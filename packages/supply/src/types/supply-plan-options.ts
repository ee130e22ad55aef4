/** Options of the supply plan. */
export interface SupplyPlanOptions {
  /** Wall-clock time in milliseconds. */
  readonly now: number;
  /** Prefix of the request ids, unique to the holder of the supply job's lease. */
  readonly epoch: string;
  /** Number of the next request id, from the ledger. */
  readonly nextSequence: number;
  /**
   * Part of the needed capacity that is held on demand at least.
   * @default 0.2
   */
  readonly onDemandFloor?: number;
  /**
   * Capacity above the need that is kept when VMs are returned, as a part of the need.
   * @default 0.05
   */
  readonly returnMargin?: number;
  /**
   * VMs held that meet the need are replaced only by ones cheaper by this part, so that small
   * price changes move nothing.
   * @default 0.1
   */
  readonly holdDiscount?: number;
  /**
   * First delay after a refusal in milliseconds; doubles with each further one.
   * @default 30000
   */
  readonly backoffMs?: number;
  /**
   * Longest delay after refusals in milliseconds.
   * @default 900000
   */
  readonly maxBackoffMs?: number;
  /**
   * Cost of one reclaim (weight load, tokens recomputed) in the currency of the prices.
   * @default 0.05
   */
  readonly reclaimCost?: number;
  /**
   * Greatest number of starts in one plan.
   * @default 16
   */
  readonly maxStarts?: number;
}
