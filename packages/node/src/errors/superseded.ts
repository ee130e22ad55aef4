import { Failure } from '@ragwortrudder/core';

/** Another node has taken over ownership of the request. */
export class Superseded extends Failure {
  readonly code = 'superseded';

  constructor(id: string) {
    super(`request ${id} is now owned by another node`, {
      status: 409,
      retryable: true,
      retryAfterMs: 0,
    });
  }
}
