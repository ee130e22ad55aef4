import type { RoutingChoice } from '../types/routing-choice.ts';
import type { RoutingOptions } from '../types/routing-options.ts';
import type { RoutingPolicy } from '../types/routing-policy.ts';
import type { RunnerView } from '../types/runner-view.ts';
import { agedRequests } from './aged-requests.ts';
import { choiceOf } from './choice-of.ts';
import { draw } from './draw.ts';
import { eligibleRunners } from './eligible-runners.ts';
import { smallest } from './smallest.ts';

function expectedMs(runner: RunnerView): number {
  return (1 + agedRequests(runner)) * runner.serviceTimeMs + runner.networkMs;
}

/**
 * Power of two choices: the better of two runners drawn at random, by aged load report and own
 * requests in flight. A runner that looks empty to all nodes is drawn by few of them.
 */
export class ApplicationRouting implements RoutingPolicy {
  readonly name = 'two-choices';

  choose(options: RoutingOptions): RoutingChoice | undefined {
    const runners = eligibleRunners(options);
    const first = draw(runners, options.random);
    const others = runners.filter((runner) => runner !== first);
    const second = draw(others, options.random);
    const pair = [first, second].filter((runner) => runner !== undefined);
    return choiceOf(smallest(pair, expectedMs, options.random), options, pair.length);
  }
}
