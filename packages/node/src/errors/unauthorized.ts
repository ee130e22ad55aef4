import { Failure } from '@ragwortrudder/core';

/** The call has no API key, or one that this node does not accept. */
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
