import { Failure } from '@ragwortrudder/core';

/** A caller's request lacks a header, or has one that cannot be read. */
export class RequestInvalid extends Failure {
  readonly code = 'request-invalid';

  constructor(message: string) {
    super(message, { status: 400, notRun: true, hint: 'correct the request and send it again' });
  }
}
