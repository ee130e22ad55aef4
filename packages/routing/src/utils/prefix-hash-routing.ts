import type { RoutingChoice } from '../types/routing-choice.ts';
import type { RoutingOptions } from '../types/routing-options.ts';
import type { RoutingPolicy } from '../types/routing-policy.ts';
import { toRoutingChoice } from './to-routing-choice.ts';
import { pickRandom } from './pick-random.ts';
import { eligibleRunners } from './eligible-runners.ts';
import { rendezvousFirst } from './rendezvous-first.ts';

/** Maximum number of prompt blocks that the hash covers. */
const HASHED_BLOCKS = 8;

/** Baseline: chooses the hash owner of the prompt's first blocks, regardless of its load. */
export class PrefixHashRouting implements RoutingPolicy {
  readonly name = 'prefix-hash';

  choose(options: RoutingOptions): RoutingChoice | undefined {
    const runners = eligibleRunners(options);
    const { blocks } = options.request;
    const key = blocks[Math.min(HASHED_BLOCKS, blocks.length) - 1];
    const owner =
      key === undefined ? pickRandom(runners, options.random) : rendezvousFirst(key, runners);
    return toRoutingChoice(owner, options, runners.length);
  }
}
