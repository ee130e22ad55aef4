/** Options of the supply plan. */
export interface SupplyPlanOptions {
  /** Wall-clock time in milliseconds. */
  readonly now: number;
  /** Names the plan's log position or epoch, so that request ids of different plans differ. */
  readonly epoch: string;
  /**
   * Part of the needed capacity that is held on demand at least.
   * @default 0.2
   */
  readonly onDemandFloor?: number;
  /**
   * Capacity held above the need before VMs are returned, as a part of the need.
   * @default 0.1
   */
  readonly returnMargin?: number;
  /**
   * Time for which a VM must have been surplus before it is returned, in milliseconds.
   * @default 60000
   */
  readonly returnAfterMs?: number;
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
