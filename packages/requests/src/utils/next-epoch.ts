import { digest } from '@ragwortrudder/core';

const OWNERS_PER_GENERATION = 1024;
const SLOT_DIGITS = 8;

/**
 * Epoch that follows `epoch` under owner `nodeId`. Epochs of different owners differ even when two
 * nodes succeed the same owner, so that their events can be told apart.
 */
export function nextEpoch(epoch: number, nodeId: string): number {
  const generation = Math.floor(epoch / OWNERS_PER_GENERATION) + 1;
  const slot = Number.parseInt(digest(nodeId).slice(0, SLOT_DIGITS), 16) % OWNERS_PER_GENERATION;
  return generation * OWNERS_PER_GENERATION + slot;
}
