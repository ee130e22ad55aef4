import { invalidFieldsReason, invalidStatusReason, isSuccess } from '@ragwortrudder/core';
import type { ResponseHead } from '../types/response-head.ts';
import { continuesStream } from './continues-stream.ts';
import { mismatchReason } from './mismatch-reason.ts';

interface HeadExpectation {
  readonly requestId: string;
  /** Part of the response has been sent; the rest has to continue it. */
  readonly hasBegun: boolean;
}

/** Returns why a response with this head cannot be used; undefined if it can. */
export function invalidHeadReason(
  head: ResponseHead,
  { requestId, hasBegun }: HeadExpectation,
): string | undefined {
  if (head.requestId !== requestId) return mismatchReason(head.requestId);
  // A dialect may change the status and the fields that it hands over.
  const invalidReason = invalidStatusReason(head.status) ?? invalidFieldsReason(head.headers);
  if (invalidReason !== undefined) return invalidReason;
  if (!isSuccess(head.status)) return undefined;
  if (head.isNotExecuted) return 'successful response has Not-Executed';
  if (head.signature === undefined) return 'successful response has no Response-Signature';
  const isContinued = !hasBegun || continuesStream(head);
  return isContinued ? undefined : 'response does not continue the event stream';
}
