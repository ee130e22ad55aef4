import { Failure } from '@ragwortrudder/core';

/** A non-idempotent request may or may not have run; it is never sent again. */
export class OutcomeUnknown extends Failure {
  readonly code = 'outcome-unknown';

  constructor(key: string) {
    super(`the outcome of key ${key} is not known`, {
      status: 502,
      hint: 'look it up later with GET /v1/keys/<key>; it is never run again under this key',
    });
  }
}
