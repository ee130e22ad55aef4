/** Converts a state to JSON data and back. */
export interface Snapshotter<S> {
  /** Returns JSON data from which {@link restore} builds an equal state. */
  serialize(state: S): unknown;
  /** Builds the state from JSON data; throws a `Failure` when the data is invalid. */
  restore(data: unknown): S;
}
