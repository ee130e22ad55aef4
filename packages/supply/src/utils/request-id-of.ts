/** Request id of the start with the given number: a new holder can ask for each of its predecessor's. */
export function requestIdOf(epoch: string, sequence: number): string {
  return `${epoch}-${sequence}`;
}
