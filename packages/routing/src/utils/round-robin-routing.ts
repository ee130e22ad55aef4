import type { RoutingChoice } from '../types/routing-choice.ts';
import type { RoutingOptions } from '../types/routing-options.ts';
import type { RoutingPolicy } from '../types/routing-policy.ts';
import { toRoutingChoice } from './to-routing-choice.ts';
import { eligibleRunners } from './eligible-runners.ts';

/** Baseline: chooses the runners in round-robin order. */
export class RoundRobinRouting implements RoutingPolicy {
  readonly name = 'round-robin';
  #nextIndex = 0;

  choose(options: RoutingOptions): RoutingChoice | undefined {
    const runners = [...eligibleRunners(options)].sort((a, b) => (a.id < b.id ? -1 : 1));
    const runner = runners[this.#nextIndex % Math.max(1, runners.length)];
    this.#nextIndex += 1;
    return toRoutingChoice(runner, options, runners.length);
  }
}
