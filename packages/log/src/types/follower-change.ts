import type { Entry } from './entry.ts';

/** Notification that a follower's state has advanced. */
export interface FollowerChange<S> {
  readonly state: S;
  /** Offset of the next record to fold. */
  readonly next: number;
  /** Entries folded by this change; empty when the state was restored from a snapshot. */
  readonly entries: readonly Entry[];
}
