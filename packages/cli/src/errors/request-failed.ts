import { Failure } from '@ragwortrudder/core';
import type { FailedOutcome } from '../types/failed-outcome.ts';

/** An accepted request failed. */
export class RequestFailed extends Failure {
  readonly code: string;

  constructor({ code, title, retryable, notRun, retryAfterMs }: FailedOutcome) {
    super(title, {
      retryable,
      notRun,
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
      hint: notRun
        ? 'the request was not executed'
        : 'if the request had an idempotency key, look up its outcome: ragwortrudder key show KEY',
    });
    this.code = code;
  }
}
