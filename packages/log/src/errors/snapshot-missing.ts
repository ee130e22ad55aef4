import { Failure } from '@ragwortrudder/core';

/** Records have expired and the retained ones hold no complete snapshot that reaches them. */
export class SnapshotMissing extends Failure {
  readonly code = 'snapshot-missing';

  constructor(first: number) {
    super(`no complete snapshot covers the records before offset ${first}`, {
      status: 503,
      retryable: true,
      hint: 'the node stays not ready until a peer offers its state; see docs/operate/log-outage.md',
    });
  }
}
