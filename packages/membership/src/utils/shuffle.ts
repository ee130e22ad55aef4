import type { Random } from '@ragwortrudder/core';

/** Returns a copy of the items in random order. */
export function shuffle<Item>(items: readonly Item[], random: Random): readonly Item[] {
  const keyed = items.map((item) => ({ item, key: random.next() }));
  return keyed.sort((a, b) => a.key - b.key).map(({ item }) => item);
}
