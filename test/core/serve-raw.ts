import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { ExecutionContext } from 'ava';

/** Answers each request at its first bytes, by a script that gets them; returns the address of the server. */
export async function serveRaw(
  t: ExecutionContext,
  answer: (socket: Socket, first: Buffer) => void,
): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', (first) => {
      answer(socket, first);
    });
    t.teardown(() => socket.destroy());
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
