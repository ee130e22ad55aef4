import { Failure } from '@ragwortrudder/core';

/** A command line that cannot be understood. */
export class UsageInvalid extends Failure {
  readonly code = 'usage-invalid';

  constructor(message: string) {
    super(message, { hint: 'see the options and examples with --help' });
  }
}
