import type { Random } from '@ragwortrudder/core';
import { pickRandom } from './pick-random.ts';

/** Returns a random item among those whose cost is within `tolerance` of the lowest cost. */
export function pickLowestCost<T>(
  items: readonly T[],
  costOf: (item: T) => number,
  random: Random,
  tolerance = 0,
): T | undefined {
  const costs = items.map(costOf);
  const limit = Math.min(...costs) + tolerance;
  return pickRandom(
    items.filter((_, i) => (costs[i] ?? Infinity) <= limit),
    random,
  );
}
