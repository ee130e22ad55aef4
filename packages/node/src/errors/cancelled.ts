import { Failure } from '@ragwortrudder/core';

/** The caller cancelled the request. */
export class Cancelled extends Failure {
  readonly code = 'cancelled';

  constructor() {
    super('the request was cancelled', { status: 499 });
  }
}
