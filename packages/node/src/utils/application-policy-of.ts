import type { PolicyName } from '@ragwortrudder/routing';

/**
 * Routing policy for application runners under the configured policy: `two-choices`, except for the
 * baselines `round-robin` and `least-loaded`, which apply as they are.
 */
export function applicationPolicyOf(policy: PolicyName): PolicyName {
  return policy === 'round-robin' || policy === 'least-loaded' ? policy : 'two-choices';
}
