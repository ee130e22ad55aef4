import { Failure } from '@ragwortrudder/core';

/** A snapshot's content does not match its digest or cannot be restored. */
export class SnapshotInvalid extends Failure {
  readonly code = 'snapshot-invalid';

  constructor(message: string) {
    super(message, { status: 400, hint: 'use another snapshot or peer' });
  }
}
