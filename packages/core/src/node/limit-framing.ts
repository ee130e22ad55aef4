import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { CallFailure } from '../errors/call-failure.ts';
import { readTurns } from './read-turns.ts';

/**
 * Bytes of a response beside its body: interim responses, head, sizes of chunks, extensions and trailers;
 * 100,000 chunks of 1 byte, whose parsing takes a third of a second.
 */
const MAX_FRAMING_BYTES = 512 * 1024;

/**
 * Ends a request whose response has far more bytes on the wire than in its body, such as interim responses
 * or chunks of 1 byte without end, and lets its reads take turns with those of others. `readBytes` tells
 * how much of the body has been read.
 */
export function limitFraming(request: ClientRequest, readBytes: () => number): void {
  let response: IncomingMessage | undefined;
  let socket: Socket | undefined;
  let receivedBytes = 0;
  let startedAt = 0;
  const onRead = (): void => {
    startedAt = performance.now();
  };
  const onParsed = (bytes: Buffer): void => {
    if (socket) readTurns.recordRead(socket, performance.now() - startedAt);
    receivedBytes += bytes.length;
    const bodyBytes = readBytes() + (response?.readableLength ?? 0);
    if (receivedBytes <= MAX_FRAMING_BYTES + 2 * bodyBytes) return;
    request.destroy(
      new CallFailure({
        reason: 'framing-too-large',
        message: `response with a body of ${bodyBytes} bytes takes ${receivedBytes} bytes`,
      }),
    );
  };
  request.once('response', (incoming) => {
    response = incoming;
  });
  request.once('socket', (assigned: Socket) => {
    socket = assigned;
    assigned.prependListener('data', onRead);
    assigned.on('data', onParsed);
    readTurns.add(assigned);
    request.once('close', () => {
      assigned.off('data', onRead);
      assigned.off('data', onParsed);
      readTurns.remove(assigned);
    });
  });
}
