/** The failure domains in use as the accepted tickets leave them. */
export interface DomainsState {
  readonly names: readonly string[];
  /** Ticket that last changed the list. */
  readonly ticket: number;
  readonly position: number;
}
