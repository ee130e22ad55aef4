import type { AddressInfo, Socket } from 'node:net';
import { createServer, plugins } from 'restify';
import type { Request, Response, Server } from 'restify';
import type { Closeable, Failure } from '@ragwortrudder/core';
import { BodyMalformed } from '../../errors/body-malformed.ts';
import { BodyTooLarge } from '../../errors/body-too-large.ts';
import { HeaderTooLarge } from '../../errors/header-too-large.ts';
import { MethodNotAllowed } from '../../errors/method-not-allowed.ts';
import { PathUnknown } from '../../errors/path-unknown.ts';
import { toFailure } from '../../utils/to-failure.ts';
import { sendProblem } from './send-problem.ts';

const HTTP_PAYLOAD_TOO_LARGE = 413;
const CONNECTION_CHECK_MS = 1000;
const KEEP_ALIVE_MS = 65_000;

type HttpMethod = 'get' | 'post' | 'del';
type Handler = (request: Request, response: Response) => Promise<void>;

interface HttpServerOptions {
  readonly name: string;
  readonly host: string;
  readonly port: number;
  readonly bodyBytes: number;
  readonly headerBytes: number;
  readonly connections: number;
  readonly headerTimeoutMs: number;
  readonly bodyTimeoutMs: number;
  /** Called for every failure that is answered. */
  readonly onFailure: (failure: Failure, request: Request) => void;
}

/** HTTP server with limits on size, time and connections, that answers failures as problems. */
export class HttpServer implements Closeable {
  readonly #server: Server;
  readonly #options: HttpServerOptions;
  readonly #sockets = new Set<Socket>();

  constructor(options: HttpServerOptions) {
    this.#options = options;
    this.#server = createServer({ name: options.name, handleUncaughtExceptions: false });
    this.#limit();
    this.#answerRoutingErrors();
  }

  /** Port that the server listens on; 0 before it listens. */
  get port(): number {
    const address = this.#server.address() as AddressInfo | null;
    return address?.port ?? 0;
  }

  /** Answers `method` on `path` by `handler`; a rejection is answered as a problem. */
  route(method: HttpMethod, path: string, handler: Handler): void {
    this.#server[method](path, async (request: Request, response: Response) => {
      try {
        await handler(request, response);
      } catch (error) {
        this.#fail(request, response, toFailure(error));
      }
    });
  }

  /** Starts to listen. */
  async listen(): Promise<void> {
    const { port, host } = this.#options;
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** Stops accepting connections and closes those that are idle; requests in progress go on. */
  stopAccepting(): void {
    this.#server.server.close();
    this.#server.server.closeIdleConnections();
  }

  async close(): Promise<void> {
    this.stopAccepting();
    for (const socket of this.#sockets) socket.destroy();
    return Promise.resolve();
  }

  #limit(): void {
    const { bodyBytes, connections, headerTimeoutMs, bodyTimeoutMs } = this.#options;
    const { server } = this.#server;
    server.maxConnections = connections;
    server.headersTimeout = headerTimeoutMs;
    server.requestTimeout = headerTimeoutMs + bodyTimeoutMs;
    server.keepAliveTimeout = KEEP_ALIVE_MS;
    Object.assign(server, { connectionsCheckingInterval: CONNECTION_CHECK_MS });
    server.on('connection', (socket: Socket) => {
      this.#sockets.add(socket);
      socket.setNoDelay(true);
      socket.once('close', () => this.#sockets.delete(socket));
    });
    this.#server.pre((request, response, next) => {
      const size = request.rawHeaders.reduce((sum, text) => sum + text.length, 0);
      if (size > this.#options.headerBytes) {
        this.#fail(request, response, new HeaderTooLarge(this.#options.headerBytes));
        next(false);
        return;
      }
      next();
    });
    this.#server.use(plugins.queryParser({ mapParams: false }));
    this.#server.use(plugins.bodyReader({ maxBodySize: bodyBytes }));
  }

  #answerRoutingErrors(): void {
    const answer =
      (failureOf: (request: Request) => Failure) =>
      (request: Request, response: Response, _error: Error, done: () => void): void => {
        this.#fail(request, response, failureOf(request));
        done();
      };
    this.#server.on(
      'NotFound',
      answer((request) => new PathUnknown(request.path())),
    );
    this.#server.on(
      'MethodNotAllowed',
      answer((request) => new MethodNotAllowed(request.method ?? '')),
    );
    this.#server.on(
      'restifyError',
      (request: Request, response: Response, error: Error, done: () => void) => {
        const status = 'statusCode' in error ? error.statusCode : undefined;
        const isTooLarge = status === HTTP_PAYLOAD_TOO_LARGE;
        const failure = isTooLarge
          ? new BodyTooLarge(this.#options.bodyBytes)
          : new BodyMalformed();
        this.#fail(request, response, failure);
        done();
      },
    );
  }

  #fail(request: Request, response: Response, failure: Failure): void {
    this.#options.onFailure(failure, request);
    sendProblem(response, failure);
  }
}
