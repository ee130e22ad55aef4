import { createSocket } from 'node:dgram';

/** Returns a UDP port of the loopback address that no socket is bound to. */
export async function freePort(): Promise<number> {
  const socket = createSocket('udp4');
  await new Promise<void>((resolve) => {
    socket.bind(0, '127.0.0.1', resolve);
  });
  const { port } = socket.address();
  await new Promise<void>((resolve) => {
    socket.close(resolve);
  });
  return port;
}
