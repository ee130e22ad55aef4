import type { versionKinds } from '../experiments/version-moves-kinds.ts';

/**
 * One rollout of the test matrix: a kind of new version under given traffic and with a given
 * deadline.
 */
export interface VersionCase {
  readonly kind: (typeof versionKinds)[number];
  readonly traffic: 'busy' | 'quiet';
  readonly deadline: 'early' | 'late';
  readonly service: string;
  readonly deadlineMs: number;
  /** Mean requests per second. */
  readonly rate: number;
}
