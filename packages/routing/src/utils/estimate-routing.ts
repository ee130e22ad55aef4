import type { PolicyOptions } from '../types/policy-options.ts';
import type { RoutingChoice } from '../types/routing-choice.ts';
import type { RoutingOptions } from '../types/routing-options.ts';
import type { RoutingPolicy } from '../types/routing-policy.ts';
import { chooseRunner } from './choose-runner.ts';
import { SessionPrefixDetector } from './session-prefix-detector.ts';

/** Routes by the estimated time to the first token, taking prefix reuse into account. */
export class EstimateRouting implements RoutingPolicy {
  readonly name = 'estimate';
  readonly #options: PolicyOptions;
  readonly #sessionDetector = new SessionPrefixDetector();

  constructor(options: PolicyOptions = {}) {
    this.#options = options;
  }

  choose(options: RoutingOptions): RoutingChoice | undefined {
    return chooseRunner(options, this.#options, this.#sessionDetector);
  }
}
