/** Time constant in milliseconds with which a load report loses its value. */
const REPORT_DECAY_MS = 2000;

/** Weight of a load report of the given age, from 1 (new) to 0. */
export function reportWeight(ageMs: number): number {
  return Math.exp(-ageMs / REPORT_DECAY_MS);
}
