import { Failure } from '@ragwortrudder/core';

/** The request was abandoned because its deadline cannot be met. */
export class DeadlinePassed extends Failure {
  readonly code = 'deadline-passed';

  constructor(retryAfterMs: number) {
    super('the deadline of the request cannot be met', {
      status: 504,
      retryable: true,
      retryAfterMs,
      hint: 'send it again after the stated delay, with a longer deadline',
    });
  }
}
