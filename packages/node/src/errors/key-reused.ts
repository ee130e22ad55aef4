import { Failure } from '@ragwortrudder/core';

/** The idempotency key was already used with a different request. */
export class KeyReused extends Failure {
  readonly code = 'key-reused';

  constructor() {
    super('the idempotency key was already used with a different request', {
      status: 422,
      notRun: true,
      hint: 'use a new key for each new request',
    });
  }
}
