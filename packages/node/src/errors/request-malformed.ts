import { Failure } from '@ragwortrudder/core';

/** What was sent is not an HTTP request. */
export class RequestMalformed extends Failure {
  readonly code = 'request-malformed';

  constructor() {
    super('what was sent is not a valid HTTP/1.1 request', {
      status: 400,
      notRun: true,
      hint: 'see docs/openapi.json',
    });
  }
}
