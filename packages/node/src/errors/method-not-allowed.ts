import { Failure } from '@ragwortrudder/core';

/** The path does not support this method. */
export class MethodNotAllowed extends Failure {
  readonly code = 'method-not-allowed';

  constructor(method: string) {
    super(`method ${method} is not allowed on this path`, {
      status: 405,
      notRun: true,
      hint: 'see docs/openapi.json',
    });
  }
}
