import { Failure } from '@ragwortrudder/core';

/** A request that must run at most once has no idempotency key. */
export class KeyRequired extends Failure {
  readonly code = 'key-required';

  constructor(service: string) {
    super(`service ${service} needs an idempotency key`, {
      status: 400,
      notRun: true,
      hint: 'send the header Idempotency-Key; POST /v1/keys issues one that also works while the log is unavailable',
    });
  }
}
