/** Names of the routing policies. */
export type PolicyName =
  'estimate' | 'round-robin' | 'least-loaded' | 'prefix-hash' | 'two-choices';
