import type { versionKinds } from '../experiments/version-moves-kinds.ts';

/** One move of the matrix: a kind of new version on a route with a deadline. */
export interface VersionCase {
  readonly kind: (typeof versionKinds)[number];
  readonly traffic: 'busy' | 'quiet';
  readonly deadline: 'early' | 'late';
  readonly service: string;
  readonly deadlineMs: number;
  /** Requests a second. */
  readonly rate: number;
}
