/** Reclaims seen of one kind of reclaimable VM. */
export interface ReclaimRate {
  readonly failureDomain: string;
  readonly machineClass: string;
  /** Reclaims per VM-hour, aged. */
  readonly perHour: number;
}
