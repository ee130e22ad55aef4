import type { RunnerView } from '../types/runner-view.ts';
import { agedRequests } from './aged-requests.ts';
import { rendezvousOrder } from './rendezvous-order.ts';

/**
 * Returns the first runner in the key's rendezvous order whose load is within `loadBound` of the
 * mean (bounded-load hashing).
 */
export function prefixOwner(
  key: string,
  runners: readonly RunnerView[],
  loadBound: number,
): RunnerView | undefined {
  const loads = new Map(runners.map((runner) => [runner.id, agedRequests(runner)]));
  const total = [...loads.values()].reduce((sum, load) => sum + load, 0);
  const limit = Math.ceil((loadBound * (total + 1)) / Math.max(1, runners.length));
  const order = rendezvousOrder(key, runners, (runner) => runner.id);
  return order.find((runner) => (loads.get(runner.id) ?? 0) < limit) ?? order[0];
}
