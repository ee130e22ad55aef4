import { Failure } from '@ragwortrudder/core';

/** No key was given. */
export class KeyMissing extends Failure {
  readonly code = 'key-missing';

  constructor() {
    super('no key was given', {
      hint: 'name a file that holds it with --key-file, or set RAGWORTRUDDER_KEY',
    });
  }
}
