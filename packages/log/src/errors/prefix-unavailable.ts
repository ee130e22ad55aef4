import { Failure } from '@ragwortrudder/core';

/** The follower cannot hand out the records asked for. */
export class PrefixUnavailable extends Failure {
  readonly code = 'prefix-unavailable';

  constructor(message: string) {
    super(message, { status: 503, retryable: true, hint: 'ask another peer' });
  }
}
