import { Failure } from '@ragwortrudder/core';

/** Too many writes wait for the log; the entry was not appended. */
export class WriteQueueFull extends Failure {
  readonly code = 'write-queue-full';

  constructor(limit: string) {
    super(`the write queue holds its limit of ${limit}`, {
      status: 503,
      retryable: true,
      notRun: true,
      hint: 'the log is slow or out; retry later',
    });
  }
}
