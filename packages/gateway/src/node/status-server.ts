import { createServer } from 'node:http';
import type { IncomingHttpHeaders, IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { Address } from '@ragwortrudder/catalog';
import type { Closeable } from '@ragwortrudder/core';

interface StatusServerOptions {
  readonly address: Address;
  readonly isReady: () => boolean;
  readonly metricsText: () => string;
  /** Called when a connection could not be accepted. */
  readonly onFailure: (error: unknown) => void;
}

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_UNAVAILABLE = 503;
const READY_PATH = '/ready';
const METRICS_PATH = '/metrics';
/** Bytes that a connection may send until its response is sent; a request has no body here. */
const MAX_REQUEST_BYTES = 16 * 1024;

/** HTTP server for the readiness check and the metrics. */
export class StatusServer implements Closeable {
  readonly #options: StatusServerOptions;
  readonly #server: Server;
  /** Bytes of the connections since their last response. */
  readonly #receivedBytes = new WeakMap<Socket, number>();
  /** Connections whose response is being sent. */
  readonly #answering = new WeakSet<Socket>();

  constructor(options: StatusServerOptions) {
    this.#options = options;
    this.#server = createServer((request, response) => {
      this.#accept(request, response);
    });
    this.#server.on('connection', (socket: Socket) => {
      socket.on('data', (bytes) => {
        this.#count(socket, bytes.length);
      });
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
    this.#server.on('error', this.#options.onFailure);
  }

  close(): Promise<void> {
    this.#server.close();
    this.#server.closeAllConnections();
    return Promise.resolve();
  }

  /** Closes a connection that sends more than a request without a body, such as blank lines without end. */
  #count(socket: Socket, bytes: number): void {
    const receivedBytes = (this.#receivedBytes.get(socket) ?? 0) + bytes;
    this.#receivedBytes.set(socket, receivedBytes);
    if (receivedBytes > MAX_REQUEST_BYTES) socket.destroy();
  }

  /**
   * Answers a request, unless another one of its connection is being answered: a caller that does not read
   * would let responses pile up.
   */
  #accept(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    if (socket.destroyed) return;
    if (this.#answering.has(socket)) {
      socket.destroy();
      return;
    }
    this.#answering.add(socket);
    response.once('finish', () => {
      this.#answering.delete(socket);
      this.#receivedBytes.delete(socket);
    });
    if (announcesBody(request.headers)) {
      response.shouldKeepAlive = false;
      response.once('finish', () => {
        socket.destroySoon();
      });
    }
    this.#answer(request, response);
  }

  #answer({ url }: IncomingMessage, response: ServerResponse): void {
    const { isReady, metricsText } = this.#options;
    if (url === READY_PATH) {
      response.writeHead(isReady() ? HTTP_OK : HTTP_UNAVAILABLE, { 'content-length': 0 });
      response.end();
      return;
    }
    if (url !== METRICS_PATH) {
      response.writeHead(HTTP_NOT_FOUND, { 'content-length': 0 });
      response.end();
      return;
    }
    response.writeHead(HTTP_OK, { 'content-type': 'text/plain; version=0.0.4' });
    response.end(metricsText());
  }
}

function announcesBody(headers: IncomingHttpHeaders): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}
