import { Failure } from '@ragwortrudder/core';

/** The issued key has expired, is not known to this node, or belongs to another tenant. */
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
