import type { FollowerChange } from './follower-change.ts';

/** What a writer needs of a follower to see its own entries in the log. */
export interface ReadBack {
  /** Calls `listener` after each change; returns a function that ends the subscription. */
  subscribe(listener: (change: FollowerChange<unknown>) => void): () => void;
  /** Reads until the end of the log. */
  readToEnd(): Promise<void>;
}
