import { Failure } from '@ragwortrudder/core';

/** The body is of a type, or in an encoding, that is not read here. */
export class ContentUnsupported extends Failure {
  readonly code = 'content-unsupported';

  constructor() {
    super('the body is of a type or in an encoding that is not read here', {
      status: 415,
      notRun: true,
      hint: 'send JSON with Content-Type: application/json and without Content-Encoding',
    });
  }
}
