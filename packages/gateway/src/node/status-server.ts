import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Address } from '@ragwortrudder/catalog';
import type { Closeable } from '@ragwortrudder/core';

interface StatusServerOptions {
  readonly address: Address;
  readonly isReady: () => boolean;
  readonly metricsText: () => string;
}

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_UNAVAILABLE = 503;
const READY_PATH = '/ready';
const METRICS_PATH = '/metrics';

/** HTTP server for the readiness check and the metrics. */
export class StatusServer implements Closeable {
  readonly #options: StatusServerOptions;
  readonly #server: Server;

  constructor(options: StatusServerOptions) {
    this.#options = options;
    this.#server = createServer((request, response) => {
      if (request.url === READY_PATH) {
        response.writeHead(options.isReady() ? HTTP_OK : HTTP_UNAVAILABLE, { 'content-length': 0 });
        response.end();
        return;
      }
      if (request.url !== METRICS_PATH) {
        response.writeHead(HTTP_NOT_FOUND, { 'content-length': 0 });
        response.end();
        return;
      }
      response.writeHead(HTTP_OK, { 'content-type': 'text/plain; version=0.0.4' });
      response.end(options.metricsText());
    });
  }

  /** Port that the server listens on; 0 before it listens. */
  get port(): number {
    const address = this.#server.address() as AddressInfo | null;
    return address?.port ?? 0;
  }

  async listen(): Promise<void> {
    const { host, port } = this.#options.address;
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  close(): Promise<void> {
    this.#server.close();
    this.#server.closeAllConnections();
    return Promise.resolve();
  }
}
