import type { FailureOptions } from '../types/failure-options.ts';

/**
 * Base class of all errors of the project: a stable code, a hint, and whether the caller may retry.
 */
export abstract class Failure extends Error {
  /** Stable machine-readable identifier, for example `ticket-conflict`. */
  abstract readonly code: string;
  /** HTTP status with which the failure is reported. */
  readonly status: number;
  /** Suggests what an operator or caller can do. */
  readonly hint: string;
  /** True if sending the same request again can succeed. */
  readonly retryable: boolean;
  /** True only if it is certain that no runner received the request. */
  readonly notRun: boolean;
  /** Recommended delay in milliseconds before a retry. */
  readonly retryAfterMs: number | undefined;

  constructor(message: string, options: FailureOptions = {}) {
    super(message, { cause: options.cause });
    this.name = new.target.name;
    this.status = options.status ?? 500;
    this.hint = options.hint ?? '';
    this.retryable = options.retryable ?? false;
    this.notRun = options.notRun ?? false;
    this.retryAfterMs = options.retryAfterMs;
  }
}
