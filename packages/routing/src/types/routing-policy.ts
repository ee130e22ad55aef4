import type { RoutingChoice } from './routing-choice.ts';
import type { RoutingOptions } from './routing-options.ts';

/** A way to choose the runner of a request. */
export interface RoutingPolicy {
  /** Name in settings and measurements. */
  readonly name: string;
  /** Returns the choice, or `undefined` when no candidate is eligible. */
  choose(options: RoutingOptions): RoutingChoice | undefined;
}
