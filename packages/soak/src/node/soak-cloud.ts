import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Closeable } from '@ragwortrudder/core';
import { receiveBody } from '@ragwortrudder/standins';

interface SoakCloudOptions {
  readonly onViolation: (message: string) => void;
}

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/**
 * Fake of the platform API. Accepts usage reports and commands, and checks that only one lease holder
 * acts at a time.
 */
export class SoakCloud implements Closeable {
  readonly #options: SoakCloudOptions;
  readonly #server: Server;
  readonly #holders = new Map<number, string>();
  readonly #counts = new Map<number, string>();
  #newestToken = 0;
  #isDown = false;

  constructor(options: SoakCloudOptions) {
    this.#options = options;
    this.#server = createServer((request, response) => {
      void this.#receive(request, response);
    });
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Number of windows for which usage was reported. */
  get windows(): number {
    return this.#counts.size;
  }

  setDown(isDown: boolean): void {
    this.#isDown = isDown;
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
  }

  async close(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  async #receive(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await receiveBody(request);
    if (!body) return;
    if (this.#isDown) {
      response.writeHead(HTTP_UNAVAILABLE);
      response.end();
      return;
    }
    this.#checkHolder(
      String(request.headers['lease-holder']),
      Number(request.headers['fencing-token']),
    );
    if (request.url === '/usage') this.#checkUsage(body.toString());
    response.writeHead(HTTP_OK);
    response.end();
  }

  #checkHolder(holder: string, token: number): void {
    const known = this.#holders.get(token);
    if (known !== undefined && known !== holder) {
      this.#options.onViolation(`${known} and ${holder} both act with token ${token}`);
    }
    if (token < this.#newestToken) {
      this.#options.onViolation(`${holder} acts with token ${token} after ${this.#newestToken}`);
    }
    this.#holders.set(token, holder);
    this.#newestToken = Math.max(this.#newestToken, token);
  }

  #checkUsage(text: string): void {
    const { window_seq: window, counts } = JSON.parse(text) as {
      readonly window_seq: number;
      readonly counts: object;
    };
    const known = this.#counts.get(window);
    const reported = JSON.stringify(counts);
    if (known !== undefined && known !== reported) {
      this.#options.onViolation(`window ${window} was reported as ${known} and as ${reported}`);
    }
    this.#counts.set(window, reported);
  }
}
