import { Failure } from '@ragwortrudder/core';

/** The content type or encoding of the body is not supported. */
export class ContentUnsupported extends Failure {
  readonly code = 'content-unsupported';

  constructor() {
    super('the Content-Type or Content-Encoding of the body is not supported', {
      status: 415,
      notRun: true,
      hint: 'send JSON with Content-Type: application/json and without Content-Encoding',
    });
  }
}
