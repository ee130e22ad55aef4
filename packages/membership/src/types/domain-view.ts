/** Contact of this node with one failure domain. */
export interface DomainView {
  readonly failureDomain: string;
  readonly region: string;
  /** True for this node's own domain, and for others while a member of it was in contact of late. */
  readonly reachable: boolean;
  /** Members that are alive or suspect. */
  readonly present: number;
  readonly alive: number;
}
