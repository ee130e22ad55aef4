/** Observed reclaim rate of one kind of reclaimable VM. */
export interface ReclaimRate {
  readonly failureDomain: string;
  readonly machineClass: string;
  /** Reclaims per VM-hour, with exponentially decayed observations. */
  readonly perHour: number;
}
