import type { RoutingChoice } from '../types/routing-choice.ts';
import type { RoutingOptions } from '../types/routing-options.ts';
import type { RoutingPolicy } from '../types/routing-policy.ts';
import { choiceOf } from './choice-of.ts';
import { draw } from './draw.ts';
import { eligibleRunners } from './eligible-runners.ts';
import { rendezvousFirst } from './rendezvous-first.ts';

/** Blocks of the prompt that the hash covers. */
const HASHED_BLOCKS = 8;

/** Baseline: the hash owner of the prompt's first blocks, whatever its load. */
export class PrefixHashRouting implements RoutingPolicy {
  readonly name = 'prefix-hash';

  choose(options: RoutingOptions): RoutingChoice | undefined {
    const runners = eligibleRunners(options);
    const { blocks } = options.request;
    const key = blocks[Math.min(HASHED_BLOCKS, blocks.length) - 1];
    const owner = key === undefined ? draw(runners, options.random) : rendezvousFirst(key, runners);
    return choiceOf(owner, options, runners.length);
  }
}
