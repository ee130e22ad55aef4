import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { formatEventId } from '@ragwortrudder/requests';
import type { RequestEvent } from '@ragwortrudder/requests';
import { toFailure } from '../../utils/to-failure.ts';
import { toProblem } from '../../utils/to-problem.ts';

const HTTP_OK = 200;

interface EventStreamOptions {
  readonly response: ServerResponse;
  readonly events: AsyncIterable<RequestEvent>;
  /** Interval of the comment lines that keep the connection alive, in milliseconds. */
  readonly heartbeatMs: number;
}

/**
 * Writes events to a caller as server-sent events, with backpressure from the caller. The response
 * headers are sent with the first event or heartbeat.
 * @throws a failure that occurs before the headers are sent; a later one is written as an event.
 */
export async function writeEventStream({
  response,
  events,
  heartbeatMs,
}: EventStreamOptions): Promise<void> {
  const heartbeat = setInterval(() => {
    sendHeaders(response);
    response.write(': heartbeat\n\n');
  }, heartbeatMs);
  try {
    for await (const event of events) {
      if (response.destroyed) return;
      sendHeaders(response);
      const isBuffered = !response.write(formatEvent(event));
      if (isBuffered) await Promise.race([once(response, 'drain'), once(response, 'close')]);
    }
    sendHeaders(response);
  } catch (error) {
    if (!response.headersSent) throw error;
    if (!response.destroyed) response.write(formatInterruption(error));
  } finally {
    clearInterval(heartbeat);
    if (response.headersSent) response.end();
  }
}

function sendHeaders(response: ServerResponse): void {
  if (response.headersSent) return;
  response.writeHead(HTTP_OK, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-store',
    'x-accel-buffering': 'no',
  });
  response.flushHeaders();
}

function formatEvent(event: RequestEvent): string {
  const { type, ...data } = event.body;
  return `id: ${formatEventId(event)}\nevent: ${type}\ndata: ${JSON.stringify(data)}\n\n`;
}

/**
 * Formats the event that ends a stream which this node cannot continue; the caller may resume it at
 * another node.
 */
function formatInterruption(error: unknown): string {
  return `event: interrupted\ndata: ${JSON.stringify(toProblem(toFailure(error)))}\n\n`;
}
