import type { Failure } from '@ragwortrudder/core';
import type { Outcome } from '@ragwortrudder/requests';

/** Final outcome of a request that ended with `failure`. */
export function toOutcome(failure: Failure): Outcome {
  return {
    code: failure.code,
    title: failure.message,
    retryable: failure.retryable,
    notRun: failure.notRun,
    ...(failure.retryAfterMs === undefined
      ? {}
      : { retryAfterMs: Math.ceil(failure.retryAfterMs) }),
  };
}
