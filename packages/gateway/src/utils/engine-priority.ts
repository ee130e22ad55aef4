const MOST_URGENT = 0;
const LEAST_URGENT = 9;
/** Distance between two ranks of routes or teams, so that ranks between them stay free. */
const STEP = 2;

/** Rank at a model engine, from 0 (first) to 9, of a priority of which 0 is the most urgent. */
export function enginePriority(priority: number): number {
  return Math.min(LEAST_URGENT, Math.max(MOST_URGENT, Math.round(priority * STEP) + 1));
}
