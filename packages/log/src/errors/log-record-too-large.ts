import { Failure } from '@ragwortrudder/core';

/** The record or entry exceeds the log's size limit; it was not appended. */
export class LogRecordTooLarge extends Failure {
  readonly code = 'log-record-too-large';

  constructor(message = 'the record exceeds the size limit of the log') {
    super(message, { status: 413, notRun: true, hint: 'split the content into smaller records' });
  }
}
