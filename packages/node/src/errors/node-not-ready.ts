import { Failure } from '@ragwortrudder/core';

/** The node is starting or leaving and takes no new requests. */
export class NodeNotReady extends Failure {
  readonly code = 'node-not-ready';

  constructor(state: string) {
    super(`the node is ${state} and takes no new requests`, {
      status: 503,
      retryable: true,
      notRun: true,
      retryAfterMs: 1000,
      hint: 'send the request to another node',
    });
  }
}
