import { CallFailure } from '../errors/call-failure.ts';
import type { ReceivedResponse } from '../types/received-response.ts';
import type { ByteBuffer } from '../utils/byte-buffer.ts';
import { readPieces } from './read-pieces.ts';

/** Reads the body of a response into `buffer`; throws when it is not complete, has an invalid head or more than `maxBytes`. */
export async function readBody(
  received: ReceivedResponse,
  buffer: ByteBuffer,
  maxBytes: number,
): Promise<void> {
  for await (const piece of readPieces(received)) {
    if (buffer.length + piece.length > maxBytes) {
      throw new CallFailure({
        reason: 'body-too-large',
        message: `body has more than ${maxBytes} bytes`,
      });
    }
    buffer.append(piece);
  }
}
