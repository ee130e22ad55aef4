import { Failure } from '@ragwortrudder/core';

/** An issued key was not used in time. */
export class KeyExpired extends Failure {
  readonly code = 'key-expired';

  constructor(key: string) {
    super(`issued key ${key} expired before it was used`, {
      status: 410,
      notRun: true,
      retryable: true,
      hint: 'ask for a new key and send the request under it',
    });
  }
}
