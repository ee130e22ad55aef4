/** Size limits and timeouts for callers' requests. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Maximum time for the headers of a request to arrive, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Maximum time that a connection may be idle between requests, in milliseconds. */
  readonly idleTimeoutMs: number;
}
