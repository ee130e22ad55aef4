import { Failure } from '@ragwortrudder/core';

/** An HTTP call got no successful response. */
export class CallFailed extends Failure {
  readonly code = 'call-failed';

  constructor(address: string, cause: unknown) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    super(`call to ${address} failed: ${reason}`, { status: 502, retryable: true, cause });
  }
}
