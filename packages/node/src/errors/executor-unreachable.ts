import { Failure } from '@ragwortrudder/core';

/** The only node that may run requests with this key cannot be reached. */
export class ExecutorUnreachable extends Failure {
  readonly code = 'executor-unreachable';

  constructor(node: string) {
    super(`node ${node}, the executor of this key, cannot be reached`, {
      status: 503,
      retryable: true,
      retryAfterMs: 500,
      hint: 'send it again under the same key; it runs at most once',
    });
  }
}
