import { Failure } from '@ragwortrudder/core';

/** The node is starting or leaving and accepts no new requests. */
export class NodeNotReady extends Failure {
  readonly code = 'node-not-ready';

  constructor(state: string) {
    super(`the node is ${state} and accepts no new requests`, {
      status: 503,
      retryable: true,
      notRun: true,
      retryAfterMs: 1000,
      hint: 'send the request to another node',
    });
  }
}
