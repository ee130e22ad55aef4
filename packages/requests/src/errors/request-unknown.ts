import { Failure } from '@ragwortrudder/core';

/** No reachable node holds the request. */
export class RequestUnknown extends Failure {
  readonly code = 'request-unknown';

  constructor(id: string, options: { readonly mayReturn: boolean }) {
    super(`request ${id} is not held by any node that can be reached`, {
      status: options.mayReturn ? 503 : 404,
      retryable: options.mayReturn,
      ...(options.mayReturn ? { retryAfterMs: 2000 } : {}),
      hint: options.mayReturn
        ? 'its owner or replica cannot be reached at the moment; try again'
        : 'the id is wrong, or the answer is past its retention',
    });
  }
}
