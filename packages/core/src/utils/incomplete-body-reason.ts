import type { ConnectionState } from '../types/connection-state.ts';
import type { ResponseFraming } from '../types/response-framing.ts';

interface ReceivedBody {
  readonly framing: ResponseFraming;
  /** The parser saw the end of the body; without a length or chunks, the end of the connection. */
  readonly hasFramingEnded: boolean;
  /** State of the connection when the body ended. */
  readonly connection: ConnectionState;
}

/**
 * Returns why the body of a response is not complete; undefined if it is. A body with a length or
 * chunks is complete once its framing is, whatever becomes of its connection afterwards; one that only
 * its connection frames is complete once the connection has ended in an orderly way.
 */
export function incompleteBodyReason({
  framing,
  hasFramingEnded,
  connection,
}: ReceivedBody): string | undefined {
  if (!hasFramingEnded) return 'response ended before its framing was complete';
  if (framing !== 'connection' || connection === 'closed') return undefined;
  return connection === 'reset'
    ? 'connection that frames the response was reset'
    : 'connection that frames the response broke';
}
