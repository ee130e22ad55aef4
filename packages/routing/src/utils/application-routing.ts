import type { RoutingChoice } from '../types/routing-choice.ts';
import type { RoutingOptions } from '../types/routing-options.ts';
import type { RoutingPolicy } from '../types/routing-policy.ts';
import type { RunnerView } from '../types/runner-view.ts';
import { estimateRequests } from './estimate-requests.ts';
import { toRoutingChoice } from './to-routing-choice.ts';
import { pickRandom } from './pick-random.ts';
import { eligibleRunners } from './eligible-runners.ts';
import { meanRequestsFromOtherNodes } from './mean-requests-from-other-nodes.ts';

/** The random runner is chosen only when its cost is lower by more than this many service times. */
const SWITCH_MARGIN = 2;

/**
 * Power of two choices: the next runner in round-robin order, or a random one when its cost, from
 * the age-weighted load report and this node's requests in flight, is clearly lower. Round-robin
 * order spreads requests evenly when reports carry no information. Random selection avoids herding:
 * when a runner appears idle to all nodes, only a few of them pick it at the same time.
 */
export class ApplicationRouting implements RoutingPolicy {
  readonly name = 'two-choices';
  #nextIndex: number | undefined;

  choose(options: RoutingOptions): RoutingChoice | undefined {
    const runners = eligibleRunners(options);
    this.#nextIndex ??= Math.floor(options.random.next() * runners.length);
    const first = runners[this.#nextIndex % Math.max(1, runners.length)];
    this.#nextIndex += 1;
    const second = pickRandom(
      runners.filter((runner) => runner !== first),
      options.random,
    );
    if (!first || !second) return toRoutingChoice(first, options, runners.length);
    const meanFromOtherNodes = meanRequestsFromOtherNodes(runners);
    const costOf = (runner: RunnerView): number =>
      (1 + estimateRequests(runner, meanFromOtherNodes)) * runner.serviceTimeMs + runner.networkMs;
    const isBetter = costOf(second) + SWITCH_MARGIN * first.serviceTimeMs < costOf(first);
    return toRoutingChoice(isBetter ? second : first, options, 2);
  }
}
