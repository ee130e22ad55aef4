import type { RunnerView } from '../types/runner-view.ts';
import { estimateRequests } from './estimate-requests.ts';

/**
 * Returns the runners whose load is below `loadBound` times the mean (consistent hashing with
 * bounded loads), or all runners when none is.
 */
export function runnersWithinLoadBound(
  runners: readonly RunnerView[],
  loadBound: number,
): readonly RunnerView[] {
  const loads = runners.map((runner) => estimateRequests(runner));
  const total = loads.reduce((sum, load) => sum + load, 0);
  const limit = Math.ceil((loadBound * (total + 1)) / Math.max(1, runners.length));
  const withinBound = runners.filter((_, i) => (loads[i] ?? 0) < limit);
  return withinBound.length > 0 ? withinBound : runners;
}
