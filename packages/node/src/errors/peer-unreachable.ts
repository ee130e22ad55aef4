import { Failure } from '@ragwortrudder/core';

/** A call to a peer got no response. */
export class PeerUnreachable extends Failure {
  readonly code = 'peer-unreachable';

  constructor(address: string, cause: unknown) {
    super(`peer ${address} did not answer`, { status: 502, retryable: true, cause });
  }
}
