import { Failure } from '@ragwortrudder/core';

/** A peer answered a call with an error. */
export class PeerRefused extends Failure {
  readonly code = 'peer-refused';

  constructor(method: string, reason: string) {
    super(`the peer refused ${method}: ${reason}`, { status: 502 });
  }
}
