/** Difference that a read of all evacuation records makes. */
export interface EvacuationChange {
  readonly begun: readonly string[];
  readonly ended: readonly string[];
  /** Domains without a record in a restored log, which stay evacuated until the log confirms that. */
  readonly unconfirmed: readonly string[];
  /** Domains that are not evacuated because too many are. */
  readonly excess: readonly string[];
}
