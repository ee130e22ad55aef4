import { Failure } from '@ragwortrudder/core';

/** A signal told the soak's own process to end. */
export class InterruptedRun extends Failure {
  readonly code = 'interrupted-run';
  readonly signal: NodeJS.Signals;

  constructor(signal: NodeJS.Signals) {
    super(`the soak got ${signal}`, { hint: 'run the seed again' });
    this.signal = signal;
  }
}
