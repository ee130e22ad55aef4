import { once } from 'node:events';
import type { Server as NodeServer, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { Failure } from '@ragwortrudder/core';
import type { Closeable } from '@ragwortrudder/core';
import restify from 'restify';
import type { Request, Response, Server } from 'restify';
import type { HttpHandler } from '../types/http-handler.ts';
import type { HttpReply } from '../types/http-reply.ts';
import { readJson } from './read-json.ts';

const DEFAULT_BODY_LIMIT_BYTES = 16 * 1024 * 1024;
const DRAIN_CHECK_MS = 20;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;

function errorReply(error: unknown): HttpReply {
  if (!(error instanceof Failure)) return { status: 500, body: { message: String(error) } };
  const { code, message, hint } = error;
  return { status: error.status, body: { code, message, hint } };
}

function send(response: ServerResponse, reply: HttpReply): void {
  if (response.destroyed || response.headersSent) return;
  const text = JSON.stringify(reply.body);
  response.writeHead(reply.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...reply.headers,
  });
  response.end(text);
}

/** HTTP server of a stand-in. It can stop listening and later resume on the same port. */
export class HttpServer implements Closeable {
  readonly #restify: Server;
  readonly #http: NodeServer;
  readonly #sockets = new Set<Socket>();
  readonly #bodyLimitBytes: number;
  #host = '127.0.0.1';
  #port = 0;
  #openCalls = 0;

  constructor(name: string, bodyLimitBytes = DEFAULT_BODY_LIMIT_BYTES) {
    this.#bodyLimitBytes = bodyLimitBytes;
    this.#restify = restify.createServer({ name });
    this.#http = this.#restify.server;
    this.#http.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    this.#http.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
    });
  }

  /** Address `host:port` on which the server listens or last listened. */
  get address(): string {
    return `${this.#host}:${this.#port}`;
  }

  get port(): number {
    return this.#port;
  }

  get(path: string, handler: HttpHandler): void {
    this.#restify.get(path, this.#adapt(handler));
  }

  post(path: string, handler: HttpHandler): void {
    this.#restify.post(path, this.#adapt(handler));
  }

  delete(path: string, handler: HttpHandler): void {
    this.#restify.del(path, this.#adapt(handler));
  }

  async listen(host = '127.0.0.1', port = 0): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#http.once('error', reject);
      this.#http.listen(port, host, () => {
        this.#http.off('error', reject);
        resolve();
      });
    });
    this.#host = host;
    this.#port = (this.#http.address() as AddressInfo).port;
  }

  /** Refuses new connections and destroys open ones, or listens on the same port again. */
  async refuseConnections(refuse: boolean): Promise<void> {
    if (refuse === !this.#http.listening) return;
    if (!refuse) return this.listen(this.#host, this.#port);
    await this.close();
  }

  /** Stops listening and waits up to `graceMs` until all open calls are answered. */
  async drain(graceMs: number): Promise<void> {
    if (this.#http.listening) this.#http.close();
    const end = performance.now() + graceMs;
    while (this.#openCalls > 0 && performance.now() < end) await delay(DRAIN_CHECK_MS);
    await this.close();
  }

  async close(): Promise<void> {
    const closed = this.#http.listening
      ? new Promise<void>((resolve) => {
          this.#http.close(() => {
            resolve();
          });
        })
      : Promise.resolve();
    for (const socket of this.#sockets) socket.destroy();
    await closed;
  }

  #adapt(handler: HttpHandler): (request: Request, response: Response) => Promise<void> {
    return async (request, response) => {
      const nodeResponse = response as unknown as ServerResponse;
      this.#openCalls += 1;
      nodeResponse.once('close', () => (this.#openCalls -= 1));
      try {
        const body = await readJson(request, this.#bodyLimitBytes);
        const query = new URL(request.url ?? '/', 'http://localhost').searchParams;
        const params = request.params as Readonly<Record<string, string>>;
        const reply = await handler({ params, query, body, request, response: nodeResponse });
        if (reply) send(nodeResponse, reply);
      } catch (error) {
        send(nodeResponse, errorReply(error));
      }
      if (!nodeResponse.destroyed) await once(nodeResponse, 'close');
    };
  }
}
