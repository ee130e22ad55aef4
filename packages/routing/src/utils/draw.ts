import type { Random } from '@ragwortrudder/core';

/** Draws one item, or `undefined` from an empty list. */
export function draw<T>(items: readonly T[], random: Random): T | undefined {
  return items[Math.floor(random.next() * items.length)];
}
