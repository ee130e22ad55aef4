import { Failure } from '@ragwortrudder/core';

/** The platform has no object with this name. */
export class NotFound extends Failure {
  readonly code = 'not-found';

  constructor(subject: string) {
    super(`not found: ${subject}`, { status: 404, hint: 'check the name of the object' });
  }
}
