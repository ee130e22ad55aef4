import { Failure } from '@ragwortrudder/core';
import type { FailedOutcome } from '../types/failed-outcome.ts';

/** An accepted request that did not complete. */
export class RequestFailed extends Failure {
  readonly code: string;

  constructor({ code, title, retryable, notRun, retryAfterMs }: FailedOutcome) {
    super(title, {
      retryable,
      notRun,
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
      hint: notRun ? 'it was not run' : 'look a keyed request up with: ragwortrudder key show KEY',
    });
    this.code = code;
  }
}
