import type { RunnerView } from '../types/runner-view.ts';
import { reportWeight } from './report-weight.ts';

/**
 * Requests believed to be on a runner: its report weighted by age plus what this node sent since;
 * as the report ages, this node's own requests in flight take its place.
 */
export function agedRequests(runner: RunnerView): number {
  const { load, loadAgeMs, unreported, inFlight } = runner;
  if (!load) return inFlight.requests;
  const weight = reportWeight(loadAgeMs);
  const reported = load.running + load.waiting + unreported.requests;
  return weight * reported + (1 - weight) * inFlight.requests;
}
