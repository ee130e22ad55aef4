import type { Random } from '@ragwortrudder/core';
import type { Placement } from '../types/placement.ts';
import type { PlacementCandidate } from '../types/placement-candidate.ts';
import type { PlacementRequest } from '../types/placement-request.ts';
import { rendezvousFirst } from './rendezvous-first.ts';

/**
 * Latency that each additional running request adds to the others in its batch, in milliseconds.
 */
const BATCH_MS_PER_REQUEST = 4;
/**
 * Wait per request beyond the runner's slots, in milliseconds: the mean duration of an answer
 * divided by the number of slots.
 */
const SLOT_WAIT_MS = 60;
/** Cost of exceeding the KV cache capacity with the prompt, in milliseconds. */
const KV_OVERFLOW_MS = 2_000;
/**
 * Cost of a remote failure domain, in milliseconds: cross-domain traffic, streams that a network
 * partition would break, and fewer reports about the requests that other nodes send there.
 */
const OTHER_DOMAIN_MS = 12;
/**
 * Random cost in milliseconds that breaks near-ties so that nodes with the same data spread their
 * requests.
 */
const TIE_MS = 3;
/** Fraction of the shared tokens counted as cached, since they may have been evicted. */
const CACHED_TOKEN_WEIGHT = 0.8;

function homeRunnerOf(session: string, candidates: readonly PlacementCandidate[]): string {
  if (candidates[0]?.isHome !== undefined) return candidates.find(({ isHome }) => isHome)?.id ?? '';
  return rendezvousFirst(session, candidates)?.id ?? '';
}

/**
 * Chooses the model runner with the lowest estimated cost. The cost covers the prompt tokens ahead
 * of the request, its own uncached prompt tokens, the batch size, KV cache overflow and remote
 * failure domains. Each session has a home runner by rendezvous hashing. A session moves to another
 * runner when the load at its home costs more than computing the shared prefix again, and then
 * prefers the runner that this node last sent it to.
 */
export function placeModelRequest(
  request: PlacementRequest,
  candidates: readonly PlacementCandidate[],
  random: Random,
): Placement | undefined {
  const homeRunner = request.session === '' ? '' : homeRunnerOf(request.session, candidates);
  let chosen: Placement | undefined;
  let lowestCost = Infinity;
  for (const candidate of candidates) {
    const mayHoldSession = candidate.id === homeRunner || candidate.id === request.lastRunner;
    const cachedTokens = mayHoldSession ? request.sharedTokens * CACHED_TOKEN_WEIGHT : 0;
    const prefillTokens = request.ownTokens + request.sharedTokens - cachedTokens;
    const waiting = Math.max(0, candidate.inFlight + 1 - candidate.slots);
    const firstTokenMs =
      candidate.slowness *
      ((candidate.prefillTokens + prefillTokens) * request.prefillMsPerToken +
        waiting * SLOT_WAIT_MS);
    const kvTokensNeeded = candidate.kvTokens + request.ownTokens + request.sharedTokens;
    const overflows = candidate.kvCapacityTokens > 0 && kvTokensNeeded > candidate.kvCapacityTokens;
    const cost =
      firstTokenMs +
      candidate.inFlight * candidate.slowness * BATCH_MS_PER_REQUEST +
      (overflows ? KV_OVERFLOW_MS : 0) +
      (candidate.failureDomain === request.failureDomain ? 0 : OTHER_DOMAIN_MS) +
      random.next() * TIE_MS;
    if (cost >= lowestCost) continue;
    lowestCost = cost;
    chosen = { id: candidate.id, firstTokenMs, slowness: candidate.slowness, prefillTokens };
  }
  return chosen;
}
