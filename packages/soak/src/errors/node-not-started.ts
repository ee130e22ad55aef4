import { Failure } from '@ragwortrudder/core';

/** The process of a node could not be started. */
export class NodeNotStarted extends Failure {
  readonly code = 'node-not-started';

  constructor(node: string, cause: Error) {
    super(`the process of ${node} could not be started: ${cause.message}`, {
      hint: 'check that the checkout exists and that the machine has processes left',
      cause,
    });
  }
}
