import type { RunnerView } from '../types/runner-view.ts';

/** Mean number of requests per runner that come from other nodes, according to the load reports. */
export function meanRequestsFromOtherNodes(runners: readonly RunnerView[]): number {
  let total = 0;
  for (const { load, inFlight, unreported } of runners) {
    if (!load) continue;
    const ownReported = inFlight.requests - unreported.requests;
    total += Math.max(0, load.running + load.waiting - ownReported);
  }
  return total / Math.max(1, runners.length);
}
