import type { RunnerView } from '../types/runner-view.ts';
import { reportWeight } from './report-weight.ts';

/**
 * Requests believed to be on a runner: its report plus what this node sent since. As the report
 * ages, it gives way to this node's own requests in flight plus `elsewhere`, the mean number of
 * requests that a runner has from other nodes. A report holds for about as long as the requests
 * that it counts take to be served.
 */
export function agedRequests(runner: RunnerView, elsewhere = 0): number {
  const { load, loadAgeMs, unreported, inFlight, serviceTimeMs } = runner;
  if (!load) return inFlight.requests + elsewhere;
  const reported = load.running + load.waiting;
  const weight = reportWeight(loadAgeMs, serviceTimeMs * (1 + reported));
  const assumed = inFlight.requests + elsewhere;
  return weight * (reported + unreported.requests) + (1 - weight) * assumed;
}
