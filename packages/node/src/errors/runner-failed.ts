import { Failure } from '@ragwortrudder/core';

/** A runner failed to handle the request. */
export class RunnerFailed extends Failure {
  readonly code = 'runner-failed';

  constructor(runner: string, reason: string) {
    super(`runner ${runner} failed: ${reason}`, { status: 502, retryable: true });
  }
}
