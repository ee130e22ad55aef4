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
   * Runners to exclude, for example those that already failed this request.
   * @default none
   */
  readonly avoid?: ReadonlySet<string>;
  /**
   * Index of the runners' prefix caches.
   * @default no prefix is assumed to be cached
   */
  readonly cache?: CacheLookup;
}
