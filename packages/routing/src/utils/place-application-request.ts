import type { Random } from '@ragwortrudder/core';
import type { PlacementCandidate } from '../types/placement-candidate.ts';

/** Cost of a remote failure domain, as a fraction of the service time of one slot. */
const OTHER_DOMAIN_COST = 0.05;
/**
 * Random cost, as a fraction of the service time of one slot, that breaks near-ties so that nodes
 * with the same data spread their requests.
 */
const TIE_COST = 0.1;
/** Weight of a request that has to wait for a slot, relative to one that only shares the runner. */
const QUEUE_COST = 2;

/** Chooses the application runner with the lowest load per slot, weighted by its slowness. */
export function placeApplicationRequest(
  failureDomain: string,
  candidates: readonly PlacementCandidate[],
  random: Random,
): string | undefined {
  let chosen: string | undefined;
  let lowestCost = Infinity;
  for (const candidate of candidates) {
    const slots = Math.max(1, candidate.slots);
    const waiting = Math.max(0, candidate.inFlight + 1 - slots);
    const load = (candidate.inFlight + waiting * QUEUE_COST) / slots;
    const cost =
      candidate.slowness * (1 + load) +
      (candidate.failureDomain === failureDomain ? 0 : OTHER_DOMAIN_COST) +
      random.next() * TIE_COST;
    if (cost >= lowestCost) continue;
    lowestCost = cost;
    chosen = candidate.id;
  }
  return chosen;
}
