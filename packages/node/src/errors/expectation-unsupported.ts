import { Failure } from '@ragwortrudder/core';

/** The header `Expect` asks for something other than `100-continue`. */
export class ExpectationUnsupported extends Failure {
  readonly code = 'expectation-unsupported';

  constructor() {
    super('the header Expect has a value other than 100-continue', {
      status: 417,
      notRun: true,
      hint: 'send the request without the header Expect',
    });
  }
}
