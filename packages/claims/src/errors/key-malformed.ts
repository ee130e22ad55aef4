import { Failure } from '@ragwortrudder/core';

/** A key has the prefix of an issued key but not its format. */
export class KeyMalformed extends Failure {
  readonly code = 'key-malformed';

  constructor() {
    super('the idempotency key is not a valid issued key', {
      status: 400,
      notRun: true,
      hint: 'send a key exactly as it was issued, or a key of your own without the prefix "k1."',
    });
  }
}
