/** An observed violation of a promise. */
export interface Violation {
  /** Short name of the promise, for example `at-most-once`. */
  readonly promise: string;
  readonly message: string;
}
