import { Failure } from '@ragwortrudder/core';

/** A peer did not reply in time. */
export class NoContact extends Failure {
  readonly code = 'no-contact';

  constructor(address: string) {
    super(`no reply from ${address}`, {
      status: 504,
      retryable: true,
      hint: 'the node may be down or partitioned from this one',
    });
  }
}
