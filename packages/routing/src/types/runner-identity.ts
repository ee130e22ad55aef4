import type { RunnerView } from './runner-view.ts';

/** The members of a runner's view that do not change during its life. */
export type RunnerIdentity = Pick<
  RunnerView,
  'id' | 'endpoint' | 'failureDomain' | 'service' | 'version' | 'kind'
>;
