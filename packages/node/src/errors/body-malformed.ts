import { Failure } from '@ragwortrudder/core';

/** The request body is not JSON. */
export class BodyMalformed extends Failure {
  readonly code = 'body-malformed';

  constructor() {
    super('the body is not valid JSON', { status: 400, notRun: true, hint: 'send a JSON object' });
  }
}
