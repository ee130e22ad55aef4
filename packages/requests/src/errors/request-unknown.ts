import { Failure } from '@ragwortrudder/core';

/** No reachable node stores the request. */
export class RequestUnknown extends Failure {
  readonly code = 'request-unknown';

  constructor(id: string, options: { readonly mayReturn: boolean }) {
    super(`request ${id} was not found on any reachable node`, {
      status: options.mayReturn ? 503 : 404,
      retryable: options.mayReturn,
      ...(options.mayReturn ? { retryAfterMs: 2000 } : {}),
      hint: options.mayReturn
        ? 'its owner and replica may be temporarily unreachable; try again'
        : 'check the id; the answer may have passed its retention period',
    });
  }
}
