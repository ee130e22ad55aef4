/** Answer of the platform to one call. */
export interface PlatformAnswer {
  /** HTTP status. */
  readonly status: number;
  /** Value of the `Retry-After` header. */
  readonly retryAfter: string | undefined;
  /** Parsed JSON body; undefined if the body is not JSON. */
  readonly body: unknown;
}
