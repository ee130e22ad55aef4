import type { ReceivedHead } from '../types/received-head.ts';
import { invalidStatusReason } from './invalid-status-reason.ts';
import { malformedHeadReason } from './malformed-head-reason.ts';
import { unreadableBodyReason } from './unreadable-body-reason.ts';

/**
 * Returns why a response with this head cannot be used, whatever it says; undefined if it can. All readers
 * of responses ask this before they use one.
 */
export function invalidResponseReason(head: ReceivedHead): string | undefined {
  return (
    malformedHeadReason(head) ??
    invalidStatusReason(head.statusCode ?? 0) ??
    unreadableBodyReason(head.rawHeaders)
  );
}
