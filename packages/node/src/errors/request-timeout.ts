import { Failure } from '@ragwortrudder/core';

/** The request was not sent completely in time. */
export class RequestTimeout extends Failure {
  readonly code = 'request-timeout';

  constructor() {
    super('the request was not received completely in time', {
      status: 408,
      retryable: true,
      notRun: true,
      hint: 'send the whole request without pauses',
    });
  }
}
