import type { RoutingChoice } from './routing-choice.ts';
import type { RoutingOptions } from './routing-options.ts';

/** Strategy that chooses the runner of a request. */
export interface RoutingPolicy {
  /** Name used in settings and measurements. */
  readonly name: string;
  /** Returns the choice, or `undefined` when no candidate is eligible. */
  choose(options: RoutingOptions): RoutingChoice | undefined;
}
