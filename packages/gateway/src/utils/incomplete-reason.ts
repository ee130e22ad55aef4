import { incompleteBodyReason } from '@ragwortrudder/core';
import type { ResponseTransfer } from '../types/response-transfer.ts';

/**
 * Returns why the body of a response is not complete; undefined if it is. In addition to what holds for
 * each body, a stream does not end inside an event, and a stream of events that only its connection
 * frames has at least one: without any it cannot be told from one that was cut, also where it continues
 * another one.
 */
export function incompleteReason(
  hasFramingEnded: boolean,
  { framing, connection, partialEventBytes = 0 }: ResponseTransfer,
  isEmptyStream = false,
): string | undefined {
  const reason = incompleteBodyReason({ framing, hasFramingEnded, connection });
  if (reason !== undefined) return reason;
  if (partialEventBytes > 0) return 'response ended inside an event';
  const isCutBeforeEvents = isEmptyStream && framing === 'connection';
  return isCutBeforeEvents ? 'stream ended before its first event' : undefined;
}
