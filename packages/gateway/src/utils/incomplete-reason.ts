import type { ResponseTransfer } from '../types/response-transfer.ts';

/**
 * Returns why the body of a response is not complete; undefined if it is. A body with a length or
 * chunks is complete once its framing is, whatever becomes of its connection afterwards. A stream of
 * events that only its connection frames has at least one: without any it cannot be told from one that
 * was cut, also where it continues another one.
 */
export function incompleteReason(
  hasFramingEnded: boolean,
  { framing, connection, partialEventBytes = 0 }: ResponseTransfer,
  isEmptyStream = false,
): string | undefined {
  if (!hasFramingEnded) return 'response ended before its framing was complete';
  if (framing === 'connection' && connection === 'reset') {
    return 'connection that frames the response was reset';
  }
  if (partialEventBytes > 0) return 'response ended inside an event';
  const isCutBeforeEvents = isEmptyStream && framing === 'connection';
  return isCutBeforeEvents ? 'stream ended before its first event' : undefined;
}
