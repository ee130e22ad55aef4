/** Body of an error response (RFC 9457). */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly code: string;
  /** True when sending the same request again can succeed. */
  readonly retryable: boolean;
  /** True only when it is certain that no runner received the request. */
  readonly notRun: boolean;
  /** Delay in milliseconds after which a retry makes sense. */
  readonly retryAfterMs?: number;
}
