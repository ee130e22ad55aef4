/** Why a ticket was refused. */
export interface Refusal {
  readonly reason: 'number-used' | 'changed-since' | 'against-unknown';
  /** Ticket that it lost to; null when `against` names no accepted ticket. */
  readonly lostTo: number | null;
  /** Objects on which it lost, for example `services.quotes`. */
  readonly objects: readonly string[];
}
