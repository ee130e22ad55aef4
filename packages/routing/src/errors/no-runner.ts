import { Failure } from '@ragwortrudder/core';

const RETRY_AFTER_MS = 1000;

/** No runner of the service is currently eligible for the request; the request has not been run. */
export class NoRunner extends Failure {
  readonly code = 'no-runner';
  readonly service: string;

  constructor(service: string) {
    super(`no runner of service ${service} is available`, {
      status: 503,
      retryable: true,
      notRun: true,
      retryAfterMs: RETRY_AFTER_MS,
      hint: 'every runner is starting, leaving, set aside or already tried; `status` shows the state of each',
    });
    this.service = service;
  }
}
