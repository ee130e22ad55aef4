import { Failure } from '@ragwortrudder/core';

/** The log rejected an append because of its rate limit; the record was not appended. */
export class LogRateExceeded extends Failure {
  readonly code = 'log-rate-exceeded';
  override readonly retryAfterMs: number;

  constructor(retryAfterMs: number) {
    super('the log rejected the append: rate limit exceeded', {
      status: 429,
      retryable: true,
      notRun: true,
      retryAfterMs,
      hint: 'retry after the stated delay',
    });
    this.retryAfterMs = retryAfterMs;
  }
}
