import { Failure } from '@ragwortrudder/core';

/** A step of the run has not ended in its time. */
export class StalledRun extends Failure {
  readonly code = 'stalled-run';

  constructor(message: string) {
    super(message, { hint: 'read the logs of the nodes in the folder of the run' });
  }
}
