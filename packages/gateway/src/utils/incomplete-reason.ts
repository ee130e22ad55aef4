import type { ResponseTransfer } from '../types/response-transfer.ts';

/**
 * Returns why the body of a response is not complete; undefined if it is. A body with a length or
 * chunks is complete once its framing is, whatever becomes of its connection afterwards.
 */
export function incompleteReason(
  hasFramingEnded: boolean,
  { framing, connection, partialEventBytes = 0 }: ResponseTransfer,
): string | undefined {
  if (!hasFramingEnded) return 'response ended before its framing was complete';
  if (framing === 'connection' && connection === 'reset') {
    return 'connection that frames the response was reset';
  }
  return partialEventBytes > 0 ? 'response ended inside an event' : undefined;
}
