const TICKETS_PER_PAGE = 64;

/** Returns the key of a ticket's page; paging limits how much is copied for each new ticket. */
export function pageOf(number: number): string {
  return `p${Math.floor(number / TICKETS_PER_PAGE)}`;
}
