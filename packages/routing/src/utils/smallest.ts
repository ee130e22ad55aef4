import type { Random } from '@ragwortrudder/core';
import { draw } from './draw.ts';

/** Returns an item of smallest cost; items within `tolerance` of it are drawn from at random. */
export function smallest<T>(
  items: readonly T[],
  costOf: (item: T) => number,
  random: Random,
  tolerance = 0,
): T | undefined {
  const costs = items.map(costOf);
  const limit = Math.min(...costs) + tolerance;
  return draw(
    items.filter((_, i) => (costs[i] ?? Infinity) <= limit),
    random,
  );
}
