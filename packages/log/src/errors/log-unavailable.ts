import { Failure } from '@ragwortrudder/core';
import type { FailureOptions } from '@ragwortrudder/core';

/** The log did not answer as expected; an append may have taken effect unless `notRun` is set. */
export class LogUnavailable extends Failure {
  readonly code = 'log-unavailable';

  constructor(message: string, options: FailureOptions = {}) {
    super(message, {
      status: 503,
      retryable: true,
      hint: 'see docs/operate/log-outage.md',
      ...options,
    });
  }
}
