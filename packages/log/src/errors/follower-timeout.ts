import { Failure } from '@ragwortrudder/core';

/** A follower did not reach an offset in time. */
export class FollowerTimeout extends Failure {
  readonly code = 'follower-timeout';

  constructor(message: string) {
    super(message, { status: 503, retryable: true, hint: 'see docs/operate/log-outage.md' });
  }
}
