import type { Entry } from './entry.ts';
import type { Snapshotter } from './snapshotter.ts';

/** Pure reducer of a stream to a state: the same entries always produce the same state. */
export interface Fold<S> {
  readonly initial: S;
  /** Required to write and restore snapshots of the state. */
  readonly snapshotter?: Snapshotter<S>;
  apply(state: S, entry: Entry): S;
}
