import { Failure } from '@ragwortrudder/core';

/** The connection to a node broke, or none could be made. */
export class ConnectionLost extends Failure {
  readonly code = 'connection-lost';

  constructor(node: string, cause?: unknown) {
    super(`the connection to ${node} was lost`, {
      retryable: true,
      retryAfterMs: 100,
      cause,
      hint: 'check the address and that the node runs',
    });
  }
}
