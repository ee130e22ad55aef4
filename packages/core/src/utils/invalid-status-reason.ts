/** Statuses of final responses; those from 100 on are interim (RFC 9110, section 15). */
const FIRST_FINAL_STATUS = 200;
const LAST_FINAL_STATUS = 599;

/** Returns why a response with this status cannot be used; undefined if it can, whatever it says. */
export function invalidStatusReason(status: number): string | undefined {
  if (status >= FIRST_FINAL_STATUS && status <= LAST_FINAL_STATUS) return undefined;
  return `status ${status} is not that of a final response`;
}
