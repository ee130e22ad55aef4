/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Time for the headers of a request to arrive, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Time that a connection may stay without a request, in milliseconds. */
  readonly idleTimeoutMs: number;
}
