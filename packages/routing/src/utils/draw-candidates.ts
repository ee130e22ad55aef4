import type { Random } from '@ragwortrudder/core';

interface CandidateDraw<T> {
  readonly items: readonly T[];
  /** Items that are examined in any case, if they are usable. */
  readonly kept: readonly T[];
  /** Number of items that are drawn besides. */
  readonly count: number;
  /** Probability with which an item that was drawn is taken, above 0 and at most 1. */
  readonly weightOf: (item: T) => number;
  readonly isUsable: (item: T) => boolean;
  readonly random: Random;
}

/** Draws per item that is wanted, after which all items are examined. */
const DRAWS_PER_ITEM = 8;
/** Items that have to be drawn for a choice; with fewer, all are examined. */
const MIN_DRAWN = 2;

/**
 * Draws a few usable items by weight, so that nodes with the same reports examine different ones. The cost
 * follows from the number of items drawn, unless most items are unusable.
 */
export function drawCandidates<T>(draw: CandidateDraw<T>): readonly T[] {
  const { items, kept, count, weightOf, isUsable, random } = draw;
  const chosen = new Set(kept.filter(isUsable));
  const keptCount = chosen.size;
  const wanted = Math.min(chosen.size + count, items.length);
  for (let left = count * DRAWS_PER_ITEM; left > 0 && chosen.size < wanted; left -= 1) {
    const item = items[Math.floor(random.next() * items.length)];
    if (item === undefined || chosen.has(item)) continue;
    if (random.next() < weightOf(item) && isUsable(item)) chosen.add(item);
  }
  const isEnough = chosen.size >= Math.min(wanted, keptCount + MIN_DRAWN);
  return isEnough ? [...chosen] : items.filter(isUsable);
}
