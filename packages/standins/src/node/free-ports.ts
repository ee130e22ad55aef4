import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';

async function listen(): Promise<Server> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return server;
}

/** Finds `count` different loopback ports that are free now. */
export async function freePorts(count: number): Promise<readonly number[]> {
  const servers = await Promise.all(Array.from({ length: count }, listen));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise<void>((resolve) => {
          server.close(() => {
            resolve();
          });
        }),
    ),
  );
  return ports;
}
