import type { RunnerView } from '../types/runner-view.ts';
import { reportWeight } from './report-weight.ts';

/**
 * Requests believed to be on a runner: its report plus what this node sent since. As the report
 * ages, it gives way to this node's own requests in flight plus `elsewhere`, the mean number of
 * requests that a runner has from other nodes. Running requests end side by side, waiting ones
 * one after the other, so a report holds for a service time and one more for each that waits.
 */
export function agedRequests(runner: RunnerView, elsewhere = 0): number {
  const { load, loadAgeMs, unreported, inFlight, serviceTimeMs } = runner;
  if (!load) return inFlight.requests + elsewhere;
  const reported = load.running + load.waiting;
  const weight = reportWeight(loadAgeMs, serviceTimeMs * (1 + load.waiting));
  const assumed = inFlight.requests + elsewhere;
  return weight * (reported + unreported.requests) + (1 - weight) * assumed;
}
