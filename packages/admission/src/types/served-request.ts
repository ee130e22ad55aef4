/** Request whose runner lived on after it was served. */
export interface ServedRequest {
  readonly parts: readonly string[];
  /** Monotonic time, in milliseconds. */
  readonly at: number;
}
