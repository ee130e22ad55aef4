const TICKETS_PER_PAGE = 64;

/** Key of the page that holds a ticket; pages keep the copy for each new ticket small. */
export function pageOf(number: number): string {
  return `p${Math.floor(number / TICKETS_PER_PAGE)}`;
}
