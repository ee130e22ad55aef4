/** Why the node itself answered a request instead of a runner. */
export type RefusalCause =
  | 'no-configuration'
  | 'route-unknown'
  | 'key-unknown'
  | 'quota-exceeded'
  | 'prompt-quarantined'
  | 'request-quarantined'
  | 'no-runner'
  | 'runner-full'
  | 'runner-unreachable'
  | 'runner-broken'
  | 'time-out'
  | 'body-too-large'
  | 'header-too-large'
  | 'node-stopping'
  | 'node-busy'
  | 'node-failed'
  | 'rejected-by-peer';
