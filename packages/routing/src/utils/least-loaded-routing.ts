import type { RoutingChoice } from '../types/routing-choice.ts';
import type { RoutingOptions } from '../types/routing-options.ts';
import type { RoutingPolicy } from '../types/routing-policy.ts';
import type { RunnerView } from '../types/runner-view.ts';
import { choiceOf } from './choice-of.ts';
import { eligibleRunners } from './eligible-runners.ts';
import { smallest } from './smallest.ts';

function reportedRequests({ load }: RunnerView): number {
  return load ? load.running + load.waiting : 0;
}

/** Baseline: the runner with the fewest requests by its last load report. */
export class LeastLoadedRouting implements RoutingPolicy {
  readonly name = 'least-loaded';

  choose(options: RoutingOptions): RoutingChoice | undefined {
    const runners = eligibleRunners(options);
    const runner = smallest(runners, reportedRequests, options.random);
    return choiceOf(runner, options, runners.length);
  }
}
