import { Failure } from '@ragwortrudder/core';

/** The node has reached its limit of open connections. */
export class ConnectionsExceeded extends Failure {
  readonly code = 'connections-exceeded';

  constructor(limit: number) {
    super(`the node has more than ${limit} open connections`, {
      status: 503,
      retryable: true,
      notRun: true,
      retryAfterMs: 1000,
      hint: 'send the request to another node, and close connections that are not used',
    });
  }
}
