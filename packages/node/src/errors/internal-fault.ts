import { Failure } from '@ragwortrudder/core';

/** A bug in this program. Callers get no details; they go to the log only. */
export class InternalFault extends Failure {
  readonly code = 'internal-fault';

  constructor(cause: unknown) {
    super('internal error while the node handled the request', {
      status: 500,
      cause,
      hint: 'see the log of the node',
    });
  }
}
