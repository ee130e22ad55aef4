import type { RunnerView } from '../types/runner-view.ts';
import { reportWeight } from './report-weight.ts';

/**
 * Estimates the number of requests on a runner: its load report plus what this node sent since. As
 * the report ages, the estimate shifts to this node's own requests in flight plus `fromOtherNodes`,
 * the mean number of requests that a runner has from other nodes. Running requests finish in
 * parallel and waiting ones one after the other, so the report's time constant is one service time
 * plus one more for each waiting request.
 */
export function estimateRequests(runner: RunnerView, fromOtherNodes = 0): number {
  const { load, loadAgeMs, unreported, inFlight, serviceTimeMs } = runner;
  if (!load) return inFlight.requests + fromOtherNodes;
  const reported = load.running + load.waiting;
  const weight = reportWeight(loadAgeMs, serviceTimeMs * (1 + load.waiting));
  const expected = inFlight.requests + fromOtherNodes;
  return weight * (reported + unreported.requests) + (1 - weight) * expected;
}
