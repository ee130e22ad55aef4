/** Place in a request's answer that a caller has reached. */
export interface EventPosition {
  readonly epoch: number;
  /** Number of the last event seen; 0 before the first. */
  readonly number: number;
}
