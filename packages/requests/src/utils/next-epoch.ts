import { digest } from '@ragwortrudder/core';

const EPOCHS_PER_GENERATION = 1024;
const SLOT_DIGITS = 8;

/**
 * Returns the epoch that follows `epoch` for the new owner `nodeId`. Epochs of different owners
 * differ even when two nodes succeed the same owner, so that their events can be distinguished.
 */
export function nextEpoch(epoch: number, nodeId: string): number {
  const generation = Math.floor(epoch / EPOCHS_PER_GENERATION) + 1;
  const slot = Number.parseInt(digest(nodeId).slice(0, SLOT_DIGITS), 16) % EPOCHS_PER_GENERATION;
  return generation * EPOCHS_PER_GENERATION + slot;
}
