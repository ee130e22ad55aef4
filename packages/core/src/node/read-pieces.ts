import type { IncomingMessage } from 'node:http';
import { readTurns } from './read-turns.ts';

/**
 * Reads a response in pieces, each of them all that has arrived, so that small chunks are not handled one
 * by one; waits for a turn of the event loop before each.
 */
export async function* readPieces(response: IncomingMessage): AsyncGenerator<Buffer> {
  const { socket } = response;
  for await (const piece of response as AsyncIterable<Buffer>) {
    yield piece;
    await readTurns.wait(socket);
  }
}
