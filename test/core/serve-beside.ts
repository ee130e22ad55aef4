import { spawn } from 'node:child_process';
import { request as sendRequest } from 'node:http';
import { createInterface } from 'node:readline';
import { setTimeout as sleep } from 'node:timers/promises';
import { EndlessCallers } from './endless-callers.ts';

interface ServerUnderTest {
  /** Program that calls `measureProcess` with its port. */
  readonly program: URL;
  /** Method and path of the requests that do not end. */
  readonly target: string;
  /** @default [] */
  readonly headers?: readonly string[];
  /** Path of the sound requests beside them. */
  readonly soundPath: string;
  readonly kind: string;
}

interface ServerReport {
  readonly growthBytes: number;
  /** Share of the sound requests that were answered. */
  readonly served: number;
  readonly maxSoundMs: number;
}

const CALL_INTERVAL_MS = 50;
const CALLS = 40;
const TIMEOUT_MS = 2_000;
const FAILED_MS = -1;

/** Returns the time of a request, or a negative number when it got no response. */
function call(port: number, path: string): Promise<number> {
  const startedAt = performance.now();
  return new Promise((resolve) => {
    const client = sendRequest({ host: '127.0.0.1', port, path, agent: false });
    client.setTimeout(TIMEOUT_MS, () => client.destroy());
    client.on('error', () => {
      resolve(FAILED_MS);
    });
    client.on('response', (response) => {
      response.resume();
      response.once('end', () => {
        resolve(performance.now() - startedAt);
      });
    });
    client.end();
  });
}

/** Runs a server in a process of its own, with sound requests beside ones that do not end. */
export async function serveBeside(server: ServerUnderTest): Promise<ServerReport> {
  const { program, target, headers = [], soundPath, kind } = server;
  const child = spawn(process.execPath, ['--import=tsx', program.pathname], {
    stdio: ['pipe', 'pipe', 'inherit'],
  });
  const lines = createInterface({ input: child.stdout })[Symbol.asyncIterator]();
  const nextLine = async (): Promise<unknown> => JSON.parse(String((await lines.next()).value));
  const { port } = (await nextLine()) as { readonly port: number };
  await call(port, soundPath);
  child.stdin.write('\n');
  const endless = new EndlessCallers({ port, target, headers, kind });
  const times: Promise<number>[] = [];
  for (let index = 0; index < CALLS; index += 1) {
    await sleep(CALL_INTERVAL_MS);
    times.push(call(port, soundPath));
  }
  const served = (await Promise.all(times)).filter((ms) => ms >= 0);
  child.stdin.end();
  const { growthBytes } = (await nextLine()) as Pick<ServerReport, 'growthBytes'>;
  endless.close();
  return { growthBytes, served: served.length / CALLS, maxSoundMs: Math.max(0, ...served) };
}
