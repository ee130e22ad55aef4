import { Failure } from '@ragwortrudder/core';

/**
 * The caller has received events that this owner does not have, so the stream cannot resume
 * exactly.
 */
export class ResumeDiverged extends Failure {
  readonly code = 'resume-diverged';

  constructor(id: string) {
    super(
      `request ${id} cannot resume: its event log on this node does not contain the given position`,
      {
        status: 409,
        retryable: true,
        retryAfterMs: 2000,
        hint: 'reconnect to another node, or send the request again if it is idempotent',
      },
    );
  }
}
