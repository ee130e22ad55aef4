import type { RunnerView } from './runner-view.ts';

/** Fields of a {@link RunnerView} that do not change during a runner's incarnation. */
export type RunnerIdentity = Pick<
  RunnerView,
  'id' | 'endpoint' | 'failureDomain' | 'service' | 'version' | 'kind'
>;
