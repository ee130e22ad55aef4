import { Failure } from '@ragwortrudder/core';

/** Nothing answered an attempt to open a connection. */
export class ConnectTimedOut extends Failure {
  readonly code = 'connect-timed-out';

  constructor() {
    super('connect timed out', {
      hint: 'the other end is cut off or overloaded; see runner-link lines in the log',
      retryable: true,
      notRun: true,
    });
  }
}
