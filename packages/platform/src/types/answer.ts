/** Answer of the platform. */
export interface Answer {
  /** HTTP status. */
  readonly status: number;
  /** Value of the header `Retry-After`. */
  readonly retryAfter: string | undefined;
  /** Parsed JSON; undefined when the body is no JSON. */
  readonly body: unknown;
}
