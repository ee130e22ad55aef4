import { Failure } from '@ragwortrudder/core';

/** The name denotes no process, runner or link that the call accepts. */
export class UnknownName extends Failure {
  readonly code = 'unknown-name';

  constructor(name: string) {
    super(`unknown name ${name}: expected a process, runner or link that this call accepts`, {
      status: 404,
    });
  }
}
