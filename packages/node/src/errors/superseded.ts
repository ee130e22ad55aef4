import { Failure } from '@ragwortrudder/core';

/** Another node owns the request now. */
export class Superseded extends Failure {
  readonly code = 'superseded';

  constructor(id: string) {
    super(`request ${id} has a later owner`, { status: 409, retryable: true, retryAfterMs: 0 });
  }
}
