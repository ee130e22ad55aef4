/** Position in a request's event stream up to which a caller has received events. */
export interface EventPosition {
  readonly epoch: number;
  /** Number of the last event received; 0 before the first. */
  readonly number: number;
}
