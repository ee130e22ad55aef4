import { Failure } from '@ragwortrudder/core';

/** A conditional append was rejected because the topic does not end at the expected offset. */
export class AppendConflict extends Failure {
  readonly code = 'append-conflict';

  constructor(topic: string, expected: number) {
    super(`append rejected: topic ${topic} does not end at the expected offset ${expected}`, {
      status: 409,
      retryable: true,
      notRun: true,
      hint: 'read the topic again and retry with its current end offset',
    });
  }
}
