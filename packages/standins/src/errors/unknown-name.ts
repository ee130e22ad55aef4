import { Failure } from '@ragwortrudder/core';

/** A name that denotes no process, runner or link. */
export class UnknownName extends Failure {
  readonly code = 'unknown-name';

  constructor(name: string) {
    super(`unknown name ${name}`, { status: 404 });
  }
}
