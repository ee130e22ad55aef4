import { Failure } from '@ragwortrudder/core';

/** The write queue is full; the entry was not appended. */
export class WriteQueueFull extends Failure {
  readonly code = 'write-queue-full';

  constructor(limit: string) {
    super(`the write queue is full: its limit is ${limit}`, {
      status: 503,
      retryable: true,
      notRun: true,
      hint: 'the log is slow or unavailable; retry later',
    });
  }
}
