import { Failure } from '@ragwortrudder/core';

/** A process of a fleet ended or did not become ready in time; `output` holds its stderr. */
export class ProcessFailure extends Failure {
  readonly code = 'process-failure';
  readonly output: string;

  constructor(message: string, output: string) {
    super(`${message}\n${output}`, {
      hint: 'read the output of the process, which follows the message',
    });
    this.output = output;
  }
}
