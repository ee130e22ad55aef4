import type { RoutingChoice } from '../types/routing-choice.ts';
import type { RoutingOptions } from '../types/routing-options.ts';
import type { RoutingPolicy } from '../types/routing-policy.ts';
import type { RunnerView } from '../types/runner-view.ts';
import { toRoutingChoice } from './to-routing-choice.ts';
import { eligibleRunners } from './eligible-runners.ts';
import { pickLowestCost } from './pick-lowest-cost.ts';

function reportedRequests({ load }: RunnerView): number {
  return load ? load.running + load.waiting : 0;
}

/** Baseline: chooses the runner with the fewest requests in its latest load report. */
export class LeastLoadedRouting implements RoutingPolicy {
  readonly name = 'least-loaded';

  choose(options: RoutingOptions): RoutingChoice | undefined {
    const runners = eligibleRunners(options);
    const runner = pickLowestCost(runners, reportedRequests, options.random);
    return toRoutingChoice(runner, options, runners.length);
  }
}
