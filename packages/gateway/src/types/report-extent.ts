/** Optional parts of a report, besides a node's work and consumed quota. */
export interface ReportExtent {
  readonly isLeaving: boolean;
  /**
   * Include usage and demand. Small deployments send them to all peers, large ones only to the duty
   * holder.
   */
  readonly includesTotals: boolean;
}
