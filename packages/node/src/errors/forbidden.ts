import { Failure } from '@ragwortrudder/core';

/** The key is valid but does not permit the action. */
export class Forbidden extends Failure {
  readonly code = 'forbidden';

  constructor(action: string) {
    super(`this key does not allow ${action}`, {
      status: 403,
      notRun: true,
      hint: 'use a key of the right role or tenant',
    });
  }
}
