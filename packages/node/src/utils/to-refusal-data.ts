import type { Failure } from '@ragwortrudder/core';
import type { RefusalData } from '../types/refusal-data.ts';

/** Serializes `failure` for another node. */
export function toRefusalData(failure: Failure): RefusalData {
  const { code, message, hint, status, retryable, notRun, retryAfterMs } = failure;
  return {
    code,
    message,
    hint,
    status,
    retryable,
    notRun,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
}
