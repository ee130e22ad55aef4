import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { parseAddress } from '../../packages/standins/src/utils/parse-address.ts';
import { receiveBody } from '../../packages/standins/src/utils/receive-body.ts';
import type { Recorder } from './recorder.ts';

interface SoundRunnerOptions {
  readonly id: string;
  readonly address: string;
  readonly recorder: Recorder;
  readonly workMs: number;
}

/** Runner that answers each request after the time of its work, and records what it runs. */
export class SoundRunner {
  readonly runs: { readonly id: string; readonly at: number }[] = [];
  readonly #options: SoundRunnerOptions;
  readonly #server: Server;

  constructor(options: SoundRunnerOptions) {
    this.#options = options;
    this.#server = createServer((request, response) => {
      void this.#serve(request, response);
    });
    this.#server.keepAliveTimeout = 10_000;
  }

  async start(): Promise<void> {
    const { host, port } = parseAddress(this.#options.address);
    await new Promise<void>((resolve) => this.#server.listen(port, host, resolve));
  }

  async close(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    response.on('error', () => undefined);
    await receiveBody(request);
    const { id: runner, recorder, workMs } = this.#options;
    const id = String(request.headers['request-id'] ?? '');
    response.setHeader('Request-Id', id);
    if (request.headers['target-instance'] !== runner) {
      response.writeHead(421, { 'Not-Executed': '1' }).end();
      return;
    }
    recorder.add('run', id, 'at', runner);
    this.runs.push({ id, at: Date.now() });
    await sleep(workMs);
    response.writeHead(200, { 'Response-Signature': `${runner}.${id}` }).end(`done ${id}`);
  }
}
