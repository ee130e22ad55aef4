import type { IncomingMessage } from 'node:http';
import { CallFailure } from '../errors/call-failure.ts';
import type { ByteBuffer } from '../utils/byte-buffer.ts';
import { readPieces } from './read-pieces.ts';

/** Reads the body of a response into `buffer`; throws when it has more than `maxBytes`. */
export async function readBody(
  response: IncomingMessage,
  buffer: ByteBuffer,
  maxBytes: number,
): Promise<void> {
  for await (const piece of readPieces(response)) {
    if (buffer.length + piece.length > maxBytes) {
      throw new CallFailure({
        reason: 'body-too-large',
        message: `body has more than ${maxBytes} bytes`,
      });
    }
    buffer.append(piece);
  }
}
