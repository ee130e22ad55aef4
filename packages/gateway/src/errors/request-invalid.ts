import { Failure } from '@ragwortrudder/core';

/** A caller's request lacks a required header or has an invalid one. */
export class RequestInvalid extends Failure {
  readonly code = 'request-invalid';

  constructor(message: string) {
    super(message, { status: 400, notRun: true, hint: 'correct the request and send it again' });
  }
}
