import { Failure } from '@ragwortrudder/core';

/** An event arrived in a state whose chart has no transition for it. */
export class TransitionRefused extends Failure {
  readonly code = 'transition-refused';

  constructor(chart: string, state: string, event: string) {
    super(`chart ${chart} has no transition for ${event} in state ${state}`);
  }
}
