import type { PolicyName } from '../types/policy-name.ts';
import type { PolicyOptions } from '../types/policy-options.ts';
import type { RoutingPolicy } from '../types/routing-policy.ts';
import { ApplicationRouting } from './application-routing.ts';
import { EstimateRouting } from './estimate-routing.ts';
import { LeastLoadedRouting } from './least-loaded-routing.ts';
import { PrefixHashRouting } from './prefix-hash-routing.ts';
import { RoundRobinRouting } from './round-robin-routing.ts';

/** Creates the routing policy with the given name. */
export function createRoutingPolicy(name: PolicyName, options: PolicyOptions = {}): RoutingPolicy {
  switch (name) {
    case 'estimate':
      return new EstimateRouting(options);
    case 'round-robin':
      return new RoundRobinRouting();
    case 'least-loaded':
      return new LeastLoadedRouting();
    case 'prefix-hash':
      return new PrefixHashRouting();
    case 'two-choices':
      return new ApplicationRouting();
  }
}
