/** Options of `Failure`. */
export interface FailureOptions {
  /**
   * HTTP status with which the failure is reported.
   * @default 500
   */
  readonly status?: number;
  /** Suggests what an operator or caller can do. */
  readonly hint?: string;
  /**
   * True if sending the same request again can succeed.
   * @default false
   */
  readonly retryable?: boolean;
  /**
   * True only if it is certain that no runner received the request.
   * @default false
   */
  readonly notRun?: boolean;
  /** Recommended delay in milliseconds before a retry. */
  readonly retryAfterMs?: number;
  /** Underlying error. */
  readonly cause?: unknown;
}
