import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { ExecutionContext } from 'ava';

/** Answers each request at its first bytes, by a script that gets them; returns the address of the server. */
export async function serveRaw(
  t: ExecutionContext,
  answer: (socket: Socket, first: Buffer) => void,
): Promise<string> {
  // A node that is still closing may open connections while the test ends.
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    socket.once('data', (first) => {
      answer(socket, first);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
