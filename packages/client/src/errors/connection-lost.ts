import { Failure } from '@ragwortrudder/core';

/** The connection to a node failed or could not be established. */
export class ConnectionLost extends Failure {
  readonly code = 'connection-lost';

  constructor(node: string, cause?: unknown) {
    super(`the connection to ${node} was lost`, {
      retryable: true,
      retryAfterMs: 100,
      cause,
      hint: 'check the address, and that the node is running',
    });
  }
}
