/** Time source, injected into all time-dependent logic so that its decisions can be replayed. */
export interface Clock {
  /**
   * Wall-clock time in milliseconds since the Unix epoch; comparable across nodes up to clock skew.
   */
  wall(): number;
  /** Monotonic time in milliseconds; only differences on the same node are meaningful. */
  monotonic(): number;
}
