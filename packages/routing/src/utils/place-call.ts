import type { Random } from '@ragwortrudder/core';
import type { PlacementCandidate } from '../types/placement-candidate.ts';

/** Cost of another failure domain as a part of one slot's time. */
const OTHER_DOMAIN_COST = 0.05;
/** Near-ties within this part of one slot's time are broken at random, so that nodes with the same view spread. */
const TIE_COST = 0.1;
/** Cost of a request that has to wait for a slot, against one that shares the runner only. */
const QUEUE_COST = 2;

/** Chooses the application runner with the least work for its slots, by its speed. */
export function placeCall(
  failureDomain: string,
  candidates: readonly PlacementCandidate[],
  random: Random,
): string | undefined {
  let chosen: string | undefined;
  let least = Infinity;
  for (const candidate of candidates) {
    const slots = Math.max(1, candidate.slots);
    const waiting = Math.max(0, candidate.inFlight + 1 - slots);
    const busy = (candidate.inFlight + waiting * QUEUE_COST) / slots;
    const cost =
      candidate.slowness * (1 + busy) +
      (candidate.failureDomain === failureDomain ? 0 : OTHER_DOMAIN_COST) +
      random.next() * TIE_COST;
    if (cost >= least) continue;
    least = cost;
    chosen = candidate.id;
  }
  return chosen;
}
