import { createServer } from 'node:net';

/** Below the ports that the operating system gives to outgoing connections. */
const FIRST_PORT = 10_000;
const LAST_PORT = 32_000;
const BYTE = 0xff;

let lastPort = FIRST_PORT;

/** Loopback address that belongs to this process alone. */
function ownHost(): string {
  const { pid } = process;
  return ['127', (pid >> 16) & BYTE, (pid >> 8) & BYTE, pid & BYTE].join('.');
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

/** Finds `count` loopback addresses that are free and that this function gives to nobody else. */
export async function freeAddresses(count: number): Promise<readonly string[]> {
  const host = ownHost();
  const addresses: string[] = [];
  while (addresses.length < count) {
    lastPort = lastPort >= LAST_PORT ? FIRST_PORT : lastPort + 1;
    const port = lastPort;
    if (await isFree(host, port)) addresses.push(`${host}:${port}`);
  }
  return addresses;
}
