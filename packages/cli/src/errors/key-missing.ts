import { Failure } from '@ragwortrudder/core';

/** The command needs a key, but neither `--key-file` nor `RAGWORTRUDDER_KEY` provides one. */
export class KeyMissing extends Failure {
  readonly code = 'key-missing';

  constructor() {
    super('no key was given', {
      hint: 'pass a file that holds the key with --key-file, or set RAGWORTRUDDER_KEY',
    });
  }
}
