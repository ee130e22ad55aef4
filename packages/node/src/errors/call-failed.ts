import { Failure } from '@ragwortrudder/core';

/** A call over HTTP got no successful answer. */
export class CallFailed extends Failure {
  readonly code = 'call-failed';

  constructor(address: string, cause: unknown) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    super(`call of ${address} failed: ${reason}`, { status: 502, retryable: true, cause });
  }
}
