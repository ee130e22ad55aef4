/** Source of time, passed to every decision so that it can be replayed. */
export interface Clock {
  /** Wall-clock time in milliseconds since the Unix epoch; comparable between nodes within their skew. */
  wall(): number;
  /** Monotonic time in milliseconds; only differences on one node have meaning. */
  monotonic(): number;
}
