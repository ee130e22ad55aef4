import { Failure } from '@ragwortrudder/core';

/** The key was already used with a different request. */
export class KeyReused extends Failure {
  readonly code = 'key-reused';

  constructor(key: string) {
    super(`idempotency key ${key} was used before with another request`, {
      status: 422,
      notRun: true,
      hint: 'use a new key for a new request',
    });
  }
}
