import type { Random } from '@ragwortrudder/core';
import type { CacheLookup } from './cache-lookup.ts';
import type { RoutingRequest } from './routing-request.ts';
import type { RunnerView } from './runner-view.ts';

/** Input of one routing decision. */
export interface RoutingOptions {
  /** Runners of the node's subset. */
  readonly candidates: readonly RunnerView[];
  readonly request: RoutingRequest;
  readonly random: Random;
  /**
   * Runners not to use, for example those that already failed this request.
   * @default none
   */
  readonly avoid?: ReadonlySet<string>;
  /**
   * Knowledge of the runners' prefix caches.
   * @default nothing is known to be cached
   */
  readonly cache?: CacheLookup;
}
