import { Failure } from '@ragwortrudder/core';

/** No runner of the service is available for the request. */
export class RunnerUnavailable extends Failure {
  readonly code = 'runner-unavailable';

  constructor(service: string, retryAfterMs: number) {
    super(`no runner of ${service} can be reached`, {
      status: 503,
      retryable: true,
      retryAfterMs,
      hint: 'see the state of the runners with: ragwortrudder status',
    });
  }
}
