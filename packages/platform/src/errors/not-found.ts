import { Failure } from '@ragwortrudder/core';

/** The platform knows no object of this name. */
export class NotFound extends Failure {
  readonly code = 'not-found';

  constructor(what: string) {
    super(`not found: ${what}`, { status: 404, hint: 'check the name' });
  }
}
