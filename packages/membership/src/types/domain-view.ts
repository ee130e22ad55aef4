/** Reachability of one failure domain as observed by this node. */
export interface DomainView {
  readonly failureDomain: string;
  readonly region: string;
  /** Always true for the local domain; for others, false after several consecutive failed direct probes. */
  readonly reachable: boolean;
  /** Number of members that are alive or suspect. */
  readonly present: number;
  readonly alive: number;
}
