import { Failure } from '@ragwortrudder/core';
import type { FailureOptions } from '@ragwortrudder/core';

/**
 * The platform did not answer, or answered with an unexpected status. Unless `notRun` is set, the call
 * may have taken effect.
 */
export class PlatformUnavailable extends Failure {
  readonly code = 'platform-unavailable';

  constructor(message: string, options: FailureOptions = {}) {
    super(message, { status: 503, retryable: true, hint: 'retry later', ...options });
  }
}
