/** Options of the supply plan. */
export interface SupplyPlanOptions {
  /** Wall-clock time in milliseconds. */
  readonly now: number;
  /** Prefix of the request ids, unique per holder of the supply job's lease. */
  readonly epoch: string;
  /** Number of the next request id, from the tracker. */
  readonly nextSequence: number;
  /**
   * Minimum share of the required capacity that is held on demand.
   * @default 0.2
   */
  readonly onDemandFloor?: number;
  /**
   * Spare capacity that is kept when VMs are returned, as a fraction of the required capacity.
   * @default 0.05
   */
  readonly returnMargin?: number;
  /**
   * Minimum relative saving for which held VMs that cover the requirement are replaced, so that
   * small price changes cause no churn.
   * @default 0.1
   */
  readonly holdDiscount?: number;
  /**
   * Initial backoff after a refusal in milliseconds; doubles with each further refusal.
   * @default 30000
   */
  readonly backoffMs?: number;
  /**
   * Maximum backoff after refusals in milliseconds.
   * @default 900000
   */
  readonly maxBackoffMs?: number;
  /**
   * Cost of one reclaim (weight load, recomputed tokens) in the currency of the prices.
   * @default 0.05
   */
  readonly reclaimCost?: number;
  /**
   * Maximum number of starts in one plan.
   * @default 16
   */
  readonly maxStarts?: number;
}
