/** Weight of a load report: 1 when it is new, falling with its age over `decayMs`. */
export function reportWeight(ageMs: number, decayMs: number): number {
  return Math.exp(-ageMs / Math.max(1, decayMs));
}
