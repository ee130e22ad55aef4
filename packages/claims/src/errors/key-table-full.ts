import { Failure } from '@ragwortrudder/core';

/** The node has reached its maximum number of issued keys. */
export class KeyTableFull extends Failure {
  readonly code = 'key-table-full';

  constructor(maxKeys: number, retryAfterMs: number) {
    super(`the node already holds ${maxKeys} issued keys`, {
      status: 503,
      notRun: true,
      retryable: true,
      retryAfterMs,
      hint: 'ask another node for a key, or retry later',
    });
  }
}
