import { Failure } from '@ragwortrudder/core';

/** A snapshot does not match its digest or cannot be restored. */
export class SnapshotInvalid extends Failure {
  readonly code = 'snapshot-invalid';

  constructor(message: string) {
    super(message, { status: 400, hint: 'restore from another snapshot or peer' });
  }
}
