import { Failure } from '@ragwortrudder/core';

/** A peer sent records that start after the follower's next offset, or that skip an offset. */
export class PrefixGap extends Failure {
  readonly code = 'prefix-gap';

  constructor(expected: number, found: number) {
    super(`expected the record at offset ${expected}, the peer sent ${found}`, {
      status: 409,
      hint: 'request records from the expected offset',
    });
  }
}
