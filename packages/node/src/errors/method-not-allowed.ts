import { Failure } from '@ragwortrudder/core';

/** The path does not take this method. */
export class MethodNotAllowed extends Failure {
  readonly code = 'method-not-allowed';

  constructor(method: string) {
    super(`method ${method} is not allowed here`, {
      status: 405,
      notRun: true,
      hint: 'see docs/openapi.json',
    });
  }
}
