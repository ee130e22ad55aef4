/** Failure domains in use, as configured by the accepted tickets. */
export interface DomainsState {
  readonly names: readonly string[];
  /** Ticket that last changed the list. */
  readonly ticket: number;
  readonly position: number;
}
