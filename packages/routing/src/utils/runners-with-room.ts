import type { RunnerView } from '../types/runner-view.ts';
import { agedRequests } from './aged-requests.ts';

/** Runners whose load is within `loadBound` of the mean (bounded-load hashing); all when none is. */
export function runnersWithRoom(
  runners: readonly RunnerView[],
  loadBound: number,
): readonly RunnerView[] {
  const loads = runners.map((runner) => agedRequests(runner));
  const total = loads.reduce((sum, load) => sum + load, 0);
  const limit = Math.ceil((loadBound * (total + 1)) / Math.max(1, runners.length));
  const roomy = runners.filter((_, i) => (loads[i] ?? 0) < limit);
  return roomy.length > 0 ? roomy : runners;
}
