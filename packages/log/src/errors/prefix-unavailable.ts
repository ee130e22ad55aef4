import { Failure } from '@ragwortrudder/core';

/** The follower cannot export the requested records. */
export class PrefixUnavailable extends Failure {
  readonly code = 'prefix-unavailable';

  constructor(message: string) {
    super(message, { status: 503, retryable: true, hint: 'request the records from another peer' });
  }
}
