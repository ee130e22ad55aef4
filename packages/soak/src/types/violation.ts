/** Promise that was seen to be broken. */
export interface Violation {
  /** Short name of the promise, for example `at-most-once`. */
  readonly promise: string;
  readonly message: string;
}
