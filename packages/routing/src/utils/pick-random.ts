import type { Random } from '@ragwortrudder/core';

/** Returns a random item, or `undefined` for an empty list. */
export function pickRandom<T>(items: readonly T[], random: Random): T | undefined {
  return items[Math.floor(random.next() * items.length)];
}
