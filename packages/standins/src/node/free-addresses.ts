import { createServer } from 'node:net';
import { processHost } from '../utils/process-host.ts';

/** The range lies below the ephemeral ports that the operating system assigns to outgoing connections. */
const FIRST_PORT = 10_000;
const LAST_PORT = 32_000;

let lastPort = FIRST_PORT;

async function isFree(host: string, port: number): Promise<boolean> {
  const server = createServer();
  return new Promise<boolean>((resolve) => {
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, host, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}

/** Finds `count` free loopback addresses, none of which this function has returned before. */
export async function freeAddresses(count: number): Promise<readonly string[]> {
  const host = processHost();
  const addresses: string[] = [];
  while (addresses.length < count) {
    lastPort = lastPort >= LAST_PORT ? FIRST_PORT : lastPort + 1;
    const port = lastPort;
    if (await isFree(host, port)) addresses.push(`${host}:${port}`);
  }
  return addresses;
}
