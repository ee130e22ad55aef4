import { Failure } from '@ragwortrudder/core';

/** The idempotency key was used with another request. */
export class KeyReused extends Failure {
  readonly code = 'key-reused';

  constructor() {
    super('the idempotency key belongs to another request', {
      status: 422,
      notRun: true,
      hint: 'use a new key for each new request',
    });
  }
}
