/** Times that follow from how often nodes report, in milliseconds. */
export interface ReportTiming {
  /** Interval between two reports of this node. */
  readonly periodMs: number;
  /**
   * Time until the use that a peer reports is known where it passes through relays; 0 where every node
   * reports to every other one.
   */
  readonly relayedUseMs: number;
  /** Silence after which a peer counts as unreachable. */
  readonly peerTimeoutMs: number;
  /** Silence of a relay after which digests of another relay of its domain are followed. */
  readonly relayTimeoutMs: number;
  /** How long the work that a peer has reported is used. */
  readonly workTtlMs: number;
  /**
   * Gap between two digests of a relay after which the quota consumed in between is not applied: the gap
   * indicates a partition.
   */
  readonly baselineTtlMs: number;
}
