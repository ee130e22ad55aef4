import { Failure } from '@ragwortrudder/core';

/** Records have expired and the retained ones contain no complete snapshot that covers them. */
export class SnapshotMissing extends Failure {
  readonly code = 'snapshot-missing';

  constructor(first: number) {
    super(`no complete snapshot covers the records before offset ${first}`, {
      status: 503,
      retryable: true,
      hint: 'the node is not ready until it receives the state from a peer; see docs/operate/log-outage.md',
    });
  }
}
