/** Returns the request id of a start. Ids are predictable so that a new lease holder can query the starts of its predecessor. */
export function requestIdOf(epoch: string, sequence: number): string {
  return `${epoch}-${sequence}`;
}
