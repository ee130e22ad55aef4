import { Failure } from '@ragwortrudder/core';

/** The request body does not fit the kind of the service. */
export class InputMismatch extends Failure {
  readonly code = 'input-mismatch';

  constructor(service: string, kind: string) {
    const members = kind === 'model' ? 'prompt and maxTokens' : 'operation and payload';
    super(`service ${service} is of kind ${kind}`, {
      status: 400,
      notRun: true,
      hint: `send ${members}`,
    });
  }
}
