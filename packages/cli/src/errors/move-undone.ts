import { Failure } from '@ragwortrudder/core';

/** A version move of the ticket was rolled back. */
export class MoveUndone extends Failure {
  readonly code = 'move-undone';

  constructor(service: string, reason: string) {
    super(`the move of ${service} was undone: ${reason}`, {
      hint: 'see docs/operate/version-moves.md',
    });
  }
}
