import { Failure } from '@ragwortrudder/core';

/** The data received is not a valid HTTP request. */
export class RequestMalformed extends Failure {
  readonly code = 'request-malformed';

  constructor() {
    super('the data received is not a valid HTTP/1.1 request', {
      status: 400,
      notRun: true,
      hint: 'see docs/openapi.json',
    });
  }
}
