import { Failure } from '@ragwortrudder/core';

/** The request cannot be served in time and was not run. */
export class Overloaded extends Failure {
  readonly code = 'overloaded';

  constructor(reason: string, retryAfterMs: number) {
    super(`the request was not admitted: ${reason}`, {
      status: 429,
      retryable: true,
      notRun: true,
      retryAfterMs,
      hint: 'send it again after the stated delay',
    });
  }
}
