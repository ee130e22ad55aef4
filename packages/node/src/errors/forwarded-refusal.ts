import { Failure } from '@ragwortrudder/core';
import type { RefusalData } from '../types/refusal-data.ts';

/**
 * A failure that another node or the request's outcome reports, forwarded unchanged to the caller.
 */
export class ForwardedRefusal extends Failure {
  readonly code: string;

  constructor(data: RefusalData) {
    const { status, hint, retryable, notRun, retryAfterMs } = data;
    super(data.message, {
      status,
      hint,
      retryable,
      notRun,
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    });
    this.code = data.code;
  }
}
