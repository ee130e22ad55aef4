/** What a report carries beside a node's work and drawn quotas. */
export interface ReportExtent {
  readonly isLeaving: boolean;
  /** Usage and demand are told as well: to all peers while they are few, else to the holder of the duties. */
  readonly hasAccount: boolean;
}
