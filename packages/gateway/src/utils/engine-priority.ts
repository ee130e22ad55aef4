const MOST_URGENT = 0;
const LEAST_URGENT = 9;
/**
 * Distance between the engine priorities of two adjacent route or team priorities; it leaves values
 * in between unused.
 */
const PRIORITY_SPACING = 2;

/** Maps a route or team priority (0 is the most urgent) to an engine priority from 0 (most urgent) to 9. */
export function enginePriority(priority: number): number {
  return Math.min(LEAST_URGENT, Math.max(MOST_URGENT, Math.round(priority * PRIORITY_SPACING) + 1));
}
