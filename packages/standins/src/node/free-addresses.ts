import { createServer } from 'node:net';

/** The range lies below the ephemeral ports that the operating system assigns to outgoing connections. */
const FIRST_PORT = 10_000;
const LAST_PORT = 32_000;
const BYTE_MASK = 0xff;

let lastPort = FIRST_PORT;

/** Returns a loopback address derived from the process id, so that no other process uses it. */
function processHost(): string {
  const { pid } = process;
  return ['127', (pid >> 16) & BYTE_MASK, (pid >> 8) & BYTE_MASK, pid & BYTE_MASK].join('.');
}

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
