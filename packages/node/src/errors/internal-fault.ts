import { Failure } from '@ragwortrudder/core';

/** A defect of this program; its details go to the log only. */
export class InternalFault extends Failure {
  readonly code = 'internal-fault';

  constructor(cause: unknown) {
    super('the node failed to handle this', {
      status: 500,
      cause,
      hint: 'see the log of the node',
    });
  }
}
