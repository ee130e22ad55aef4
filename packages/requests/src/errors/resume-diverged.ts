import { Failure } from '@ragwortrudder/core';

/** The caller has seen events that this owner does not hold, so the answer cannot be continued exactly. */
export class ResumeDiverged extends Failure {
  readonly code = 'resume-diverged';

  constructor(id: string) {
    super(`events of request ${id} after the given position are not held here`, {
      status: 409,
      retryable: true,
      retryAfterMs: 2000,
      hint: 'reconnect to another node, or send the request again if it is idempotent',
    });
  }
}
