import type { FollowerChange } from './follower-change.ts';

/** Interface of a follower through which a writer reads its own entries back from the log. */
export interface StreamReader {
  /** Calls `listener` after each change; returns a function that unsubscribes it. */
  subscribe(listener: (change: FollowerChange<unknown>) => void): () => void;
  /** Reads up to the current end of the log. */
  readToEnd(): Promise<void>;
}
