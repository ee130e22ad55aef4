import { createSocket } from 'node:dgram';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

const HOST = '127.0.0.1';

function isUdpPortFree(port: number): Promise<boolean> {
  const socket = createSocket('udp4');
  return new Promise((resolve) => {
    socket.once('error', () => {
      resolve(false);
    });
    socket.bind(port, HOST, () => {
      socket.close(() => {
        resolve(true);
      });
    });
  });
}

/** Returns a port of the loopback address that no UDP or TCP socket is bound to. */
export async function freePort(): Promise<number> {
  for (;;) {
    const server = createServer();
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
    const { port } = server.address() as AddressInfo;
    const isFree = await isUdpPortFree(port);
    await new Promise((resolve) => server.close(resolve));
    if (isFree) return port;
  }
}
