import { Failure } from '@ragwortrudder/core';

/** The caller did not send the body in time. */
export class BodyTimeout extends Failure {
  readonly code = 'body-timeout';

  constructor(limitMs: number) {
    super(`the body did not arrive within ${limitMs} ms`, {
      status: 408,
      notRun: true,
      retryable: true,
      hint: 'send the body at once',
    });
  }
}
