import type { FailureOptions } from '../types/failure-options.ts';

/** Base class of every error of the system: a stable code, a hint, and what the caller may do next. */
export abstract class Failure extends Error {
  /** Stable machine-readable identifier, for example `ticket-conflict`. */
  abstract readonly code: string;
  /** HTTP status under which the failure is reported. */
  readonly status: number;
  /** What an operator or caller can do about it. */
  readonly hint: string;
  /** True when sending the same request again can succeed. */
  readonly retryable: boolean;
  /** True only when it is proved that no runner received the request. */
  readonly notRun: boolean;
  /** Delay in milliseconds after which a retry makes sense. */
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
