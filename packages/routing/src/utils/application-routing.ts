import type { RoutingChoice } from '../types/routing-choice.ts';
import type { RoutingOptions } from '../types/routing-options.ts';
import type { RoutingPolicy } from '../types/routing-policy.ts';
import type { RunnerView } from '../types/runner-view.ts';
import { agedRequests } from './aged-requests.ts';
import { choiceOf } from './choice-of.ts';
import { draw } from './draw.ts';
import { eligibleRunners } from './eligible-runners.ts';
import { requestsElsewhere } from './requests-elsewhere.ts';

/** The second runner is taken only when it is better by this many service times. */
const MARGIN = 2;

/**
 * Power of two choices: the next runner in turn, or one drawn at random when that is clearly
 * better by aged load report and own requests in flight. Turns spread the requests evenly when
 * reports say nothing, and a runner that looks empty to all nodes is drawn by few of them.
 */
export class ApplicationRouting implements RoutingPolicy {
  readonly name = 'two-choices';
  #turn: number | undefined;

  choose(options: RoutingOptions): RoutingChoice | undefined {
    const runners = eligibleRunners(options);
    this.#turn ??= Math.floor(options.random.next() * runners.length);
    const first = runners[this.#turn % Math.max(1, runners.length)];
    this.#turn += 1;
    const second = draw(
      runners.filter((runner) => runner !== first),
      options.random,
    );
    if (!first || !second) return choiceOf(first, options, runners.length);
    const elsewhere = requestsElsewhere(runners);
    const costOf = (runner: RunnerView): number =>
      (1 + agedRequests(runner, elsewhere)) * runner.serviceTimeMs + runner.networkMs;
    const isBetter = costOf(second) + MARGIN * first.serviceTimeMs < costOf(first);
    return choiceOf(isBetter ? second : first, options, 2);
  }
}
