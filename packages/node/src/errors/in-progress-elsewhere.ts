import { Failure } from '@ragwortrudder/core';

/** The request is owned by another node, which cannot be reached. */
export class InProgressElsewhere extends Failure {
  readonly code = 'in-progress-elsewhere';

  constructor(node: string) {
    super(`the request is in progress at node ${node}`, {
      status: 409,
      retryable: true,
      retryAfterMs: 1000,
      hint: 'send it again under the same key; it runs at most once',
    });
  }
}
