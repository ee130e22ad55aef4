import { Failure } from '@ragwortrudder/core';

/** A conditional append found that the topic ends elsewhere. */
export class AppendConflict extends Failure {
  readonly code = 'append-conflict';

  constructor(topic: string, expected: number) {
    super(`topic ${topic} no longer ends at offset ${expected}`, {
      status: 409,
      retryable: true,
      notRun: true,
      hint: 'read the topic again before the next append',
    });
  }
}
