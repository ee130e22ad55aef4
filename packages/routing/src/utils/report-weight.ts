/**
 * Weight of a load report: 1 when it is new, decaying exponentially with time constant `decayMs`.
 */
export function reportWeight(ageMs: number, decayMs: number): number {
  return Math.exp(-ageMs / Math.max(1, decayMs));
}
