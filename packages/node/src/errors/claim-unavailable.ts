import { Failure } from '@ragwortrudder/core';

/** The claim of a caller-made key cannot be written to the log at the moment. */
export class ClaimUnavailable extends Failure {
  readonly code = 'claim-unavailable';

  constructor(retryAfterMs: number) {
    super('the claim of the key cannot be recorded at the moment', {
      status: 503,
      retryable: true,
      notRun: true,
      retryAfterMs,
      hint: 'send it again after the stated delay, or use a key from POST /v1/keys',
    });
  }
}
