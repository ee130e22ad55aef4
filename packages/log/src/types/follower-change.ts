import type { Entry } from './entry.ts';

/** Notification of a follower that its state moved forward. */
export interface FollowerChange<S> {
  readonly state: S;
  /** Offset of the next record to be folded. */
  readonly next: number;
  /** Entries folded by this change; empty when the state came from a snapshot. */
  readonly entries: readonly Entry[];
}
