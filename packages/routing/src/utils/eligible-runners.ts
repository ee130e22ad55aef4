import type { RoutingOptions } from '../types/routing-options.ts';
import type { RunnerView } from '../types/runner-view.ts';

/** Returns the candidates that are allowed to receive the request. */
export function eligibleRunners(options: RoutingOptions): readonly RunnerView[] {
  const { candidates, request, avoid } = options;
  return candidates.filter((runner) => {
    if (runner.service !== request.service) return false;
    if (request.version !== undefined && runner.version !== request.version) return false;
    if (runner.state !== 'ready' || runner.leaving || runner.load?.leaving) return false;
    return !runner.setAside && !avoid?.has(runner.id);
  });
}
