import type { PolicyName } from '@ragwortrudder/routing';

/** Policy for application runners under the policy set: two choices unless it is a plain baseline. */
export function applicationPolicyOf(policy: PolicyName): PolicyName {
  return policy === 'round-robin' || policy === 'least-loaded' ? policy : 'two-choices';
}
