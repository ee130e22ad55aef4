import { Failure } from '@ragwortrudder/core';

/** An issued key that is expired, unknown here, or another tenant's. */
export class KeyUnusable extends Failure {
  readonly code = 'key-unusable';

  constructor(reason: string) {
    super(`the key cannot be used: ${reason}`, {
      status: 422,
      notRun: true,
      hint: 'ask for a new key with POST /v1/keys',
    });
  }
}
