import type { RunnerView } from '@ragwortrudder/routing';

/** Number of requests at which a runner that reports no KV capacity counts as fully loaded. */
const FULL_LOAD_REQUESTS = 16;

/**
 * Load of a runner from 0 to 1: its KV cache usage if reported, else its running and waiting
 * requests.
 */
export function runnerLoadOf({ load, inFlight }: RunnerView): number {
  if (load?.kvUsed !== undefined && load.kvCapacity)
    return Math.min(1, load.kvUsed / load.kvCapacity);
  const requests = Math.max(inFlight.requests, (load?.running ?? 0) + (load?.waiting ?? 0));
  return Math.min(1, requests / FULL_LOAD_REQUESTS);
}
