import type { RoutingChoice } from '../types/routing-choice.ts';
import type { RoutingOptions } from '../types/routing-options.ts';
import type { RoutingPolicy } from '../types/routing-policy.ts';
import { choiceOf } from './choice-of.ts';
import { eligibleRunners } from './eligible-runners.ts';

/** Baseline: each runner in turn. */
export class RoundRobinRouting implements RoutingPolicy {
  readonly name = 'round-robin';
  #turn = 0;

  choose(options: RoutingOptions): RoutingChoice | undefined {
    const runners = [...eligibleRunners(options)].sort((a, b) => (a.id < b.id ? -1 : 1));
    const runner = runners[this.#turn % Math.max(1, runners.length)];
    this.#turn += 1;
    return choiceOf(runner, options, runners.length);
  }
}
