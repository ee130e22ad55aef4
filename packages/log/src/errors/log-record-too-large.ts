import { Failure } from '@ragwortrudder/core';

/** The record or entry is larger than the log takes; it was not appended. */
export class LogRecordTooLarge extends Failure {
  readonly code = 'log-record-too-large';

  constructor(message = 'the record is larger than the log takes') {
    super(message, { status: 413, notRun: true, hint: 'split the content' });
  }
}
