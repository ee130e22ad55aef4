import type { Random } from '@ragwortrudder/core';
import type { Placement } from '../types/placement.ts';
import type { PlacementCandidate } from '../types/placement-candidate.ts';
import type { PlacementRequest } from '../types/placement-request.ts';
import { rendezvousScore } from './rendezvous-score.ts';

/** Time that a further running request adds to the answers beside it, in milliseconds. */
const BATCH_MS_PER_REQUEST = 4;
/** Wait for a slot per request above the batch, in milliseconds: a mean answer over the slots. */
const SLOT_WAIT_MS = 60;
/** Cost of a prompt that does not fit into the KV cache beside the others, in milliseconds. */
const KV_OVERFLOW_MS = 2_000;
/** Cost of another failure domain, in milliseconds: bytes between domains, streams that a cut breaks off, and less news of what others send there. */
const OTHER_DOMAIN_MS = 12;
/** Near-ties within this range are broken at random, so that nodes with the same view spread, in milliseconds. */
const TIE_MS = 3;
/** Weight of cached prompt tokens against tokens to be read: they may have been evicted. */
const CACHE_TRUST = 0.8;

function homeOf(session: string, candidates: readonly PlacementCandidate[]): string {
  let home = '';
  let best = -1;
  for (const { id } of candidates) {
    const score = rendezvousScore(session, id);
    if (score <= best) continue;
    best = score;
    home = id;
  }
  return home;
}

/**
 * Chooses the model runner with the least estimated time: prompt tokens ahead and its own, the
 * batch, the KV cache, and whether the session's shared parts are held there. Sessions have a home
 * runner by rendezvous hashing, and leave it once the load there costs more than reading again; they
 * stay where this node sent them last.
 */
export function placeRequest(
  request: PlacementRequest,
  candidates: readonly PlacementCandidate[],
  random: Random,
): Placement | undefined {
  const home = request.session === '' ? '' : homeOf(request.session, candidates);
  let chosen: Placement | undefined;
  let least = Infinity;
  for (const candidate of candidates) {
    const isHolder = candidate.id === home || candidate.id === request.lastRunner;
    const cached = isHolder ? request.sharedTokens * CACHE_TRUST : 0;
    const prefillTokens = request.ownTokens + request.sharedTokens - cached;
    const waiting = Math.max(0, candidate.inFlight + 1 - candidate.slots);
    const firstTokenMs =
      candidate.slowness *
      ((candidate.prefillTokens + prefillTokens) * request.prefillMsPerToken +
        waiting * SLOT_WAIT_MS);
    const kvNeeded = candidate.kvTokens + request.ownTokens + request.sharedTokens;
    const overflows = candidate.kvCapacityTokens > 0 && kvNeeded > candidate.kvCapacityTokens;
    const cost =
      firstTokenMs +
      candidate.inFlight * candidate.slowness * BATCH_MS_PER_REQUEST +
      (overflows ? KV_OVERFLOW_MS : 0) +
      (candidate.failureDomain === request.failureDomain ? 0 : OTHER_DOMAIN_MS) +
      random.next() * TIE_MS;
    if (cost >= least) continue;
    least = cost;
    chosen = { id: candidate.id, firstTokenMs, prefillTokens };
  }
  return chosen;
}
