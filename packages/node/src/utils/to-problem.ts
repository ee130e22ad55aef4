import type { Failure } from '@ragwortrudder/core';
import type { Problem } from '../types/problem.ts';

const TYPE_PREFIX = 'urn:ragwortrudder:problem:';

/** Problem body for `failure`. */
export function toProblem(failure: Failure): Problem {
  return {
    type: `${TYPE_PREFIX}${failure.code}`,
    title: failure.message,
    status: failure.status,
    detail: failure.hint,
    code: failure.code,
    retryable: failure.retryable,
    notRun: failure.notRun,
    ...(failure.retryAfterMs === undefined
      ? {}
      : { retryAfterMs: Math.ceil(failure.retryAfterMs) }),
  };
}
