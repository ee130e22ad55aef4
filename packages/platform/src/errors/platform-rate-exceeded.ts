import { Failure } from '@ragwortrudder/core';

/** The platform refused a call because of its rate limit; the call had no effect. */
export class PlatformRateExceeded extends Failure {
  readonly code = 'platform-rate-exceeded';
  override readonly retryAfterMs: number;

  constructor(retryAfterMs: number) {
    super('the platform refused the call: rate limit exceeded', {
      status: 429,
      retryable: true,
      notRun: true,
      retryAfterMs,
      hint: 'retry after the stated delay',
    });
    this.retryAfterMs = retryAfterMs;
  }
}
