import type { RunnerView } from '@ragwortrudder/routing';

/** Running requests at which a runner without a reported capacity counts as fully loaded. */
const FULL_RUNNING = 16;

/** Load of a runner from 0 to 1: its KV cache's use, or its running and waiting requests. */
export function runnerLoadOf({ load, inFlight }: RunnerView): number {
  if (load?.kvUsed !== undefined && load.kvCapacity)
    return Math.min(1, load.kvUsed / load.kvCapacity);
  const requests = Math.max(inFlight.requests, (load?.running ?? 0) + (load?.waiting ?? 0));
  return Math.min(1, requests / FULL_RUNNING);
}
