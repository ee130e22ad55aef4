import { Failure } from '@ragwortrudder/core';

/** An event was sent to a chart whose current state has no transition for it. */
export class TransitionRefused extends Failure {
  readonly code = 'transition-refused';

  constructor(chart: string, state: string, event: string) {
    super(`chart ${chart} has no transition for ${event} in state ${state}`);
  }
}
