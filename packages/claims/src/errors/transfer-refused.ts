import { Failure } from '@ragwortrudder/core';

/** A key could not be transferred to, or received from, another node. */
export class TransferRefused extends Failure {
  readonly code = 'transfer-refused';

  constructor(key: string, reason: string) {
    super(`transfer of key ${key} refused: ${reason}`, {
      status: 409,
      hint: 'the key keeps its state; its outcome can be looked up',
    });
  }
}
