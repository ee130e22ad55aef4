/** Options of a failure. */
export interface FailureOptions {
  /**
   * HTTP status under which the failure is reported.
   * @default 500
   */
  readonly status?: number;
  /** What an operator or caller can do about it. */
  readonly hint?: string;
  /**
   * True when sending the same request again can succeed.
   * @default false
   */
  readonly retryable?: boolean;
  /**
   * True only when it is proved that no runner received the request.
   * @default false
   */
  readonly notRun?: boolean;
  /** Delay in milliseconds after which a retry makes sense. */
  readonly retryAfterMs?: number;
  /** Underlying error. */
  readonly cause?: unknown;
}
