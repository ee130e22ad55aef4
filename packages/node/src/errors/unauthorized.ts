import { Failure } from '@ragwortrudder/core';

/** The call carries no key, or one that is not valid here. */
export class Unauthorized extends Failure {
  readonly code = 'unauthorized';

  constructor() {
    super('a valid key is required', {
      status: 401,
      notRun: true,
      hint: 'send the header Authorization: Bearer <key>',
    });
  }
}
