import { Failure } from '@ragwortrudder/core';

/** The caller did not send its complete request within the time limit. */
export class RequestTimeout extends Failure {
  readonly code = 'request-timeout';

  constructor() {
    super('the headers or the body of the request did not arrive within the time limit', {
      status: 408,
      retryable: true,
      notRun: true,
      hint: 'send the whole request without pauses',
    });
  }
}
