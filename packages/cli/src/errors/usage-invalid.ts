import { Failure } from '@ragwortrudder/core';

/** The command line is invalid. */
export class UsageInvalid extends Failure {
  readonly code = 'usage-invalid';

  constructor(message: string) {
    super(message, { hint: 'see the options and examples with --help' });
  }
}
