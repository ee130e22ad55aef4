/** Reason for which a ticket was refused. */
export interface Refusal {
  readonly reason: 'number-used' | 'changed-since' | 'against-unknown';
  /** Conflicting ticket that prevailed; null when `against` is not an accepted ticket. */
  readonly lostTo: number | null;
  /** Objects in conflict, for example `services.quotes`. */
  readonly objects: readonly string[];
}
