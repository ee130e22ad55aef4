import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { createServer, plugins } from 'restify';
import type { Request, Response, Server } from 'restify';
import type { Closeable, Failure } from '@ragwortrudder/core';
import { BodyTooLarge } from '../../errors/body-too-large.ts';
import { ConnectionsExceeded } from '../../errors/connections-exceeded.ts';
import { ContentUnsupported } from '../../errors/content-unsupported.ts';
import { ExpectationUnsupported } from '../../errors/expectation-unsupported.ts';
import { HeaderTooLarge } from '../../errors/header-too-large.ts';
import { MethodNotAllowed } from '../../errors/method-not-allowed.ts';
import { PathUnknown } from '../../errors/path-unknown.ts';
import { RequestMalformed } from '../../errors/request-malformed.ts';
import { RequestTimeout } from '../../errors/request-timeout.ts';
import { toFailure } from '../../utils/to-failure.ts';
import { toProblemMessage } from '../../utils/to-problem-message.ts';
import { sendProblem } from './send-problem.ts';

const HTTP_BAD_REQUEST = 400;
const HTTP_NOT_FOUND = 404;
const HTTP_METHOD_NOT_ALLOWED = 405;
const HTTP_PAYLOAD_TOO_LARGE = 413;
const JSON_TYPE = 'application/json';
const READABLE_TYPE =
  /^(?:application\/(?:[\w.+-]*json|x-www-form-urlencoded)|text\/[\w.+-]+)\s*(?:;|$)/i;
const CONNECTION_CHECK_MS = 1000;
const KEEP_ALIVE_MS = 65_000;
/**
 * Connections above the limit that are still accepted, so that they can be refused with a response.
 */
const EXCESS_CONNECTIONS = 64;
/** Requests of one connection that have no whole response yet. */
const MAX_PIPELINED_REQUESTS = 16;

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
  /** Called for every failure that is sent as a response. */
  readonly onFailure: (failure: Failure) => void;
}

/**
 * HTTP server with limits on size, time and connections; it sends failures as problem responses.
 */
export class HttpServer implements Closeable {
  readonly #server: Server;
  readonly #options: HttpServerOptions;
  readonly #sockets = new Set<Socket>();
  readonly #excessSockets = new WeakSet<Socket>();
  readonly #responses = new WeakMap<Socket, ServerResponse>();
  /** Requests without a whole response, by connection. */
  readonly #openRequests = new WeakMap<Socket, number>();
  /** Bytes that connections have sent between two requests. */
  readonly #idleBytes = new WeakMap<Socket, number>();

  constructor(options: HttpServerOptions) {
    this.#options = options;
    this.#server = createServer({ name: options.name, handleUncaughtExceptions: false });
    this.#applyLimits();
    this.#answerRoutingErrors();
  }

  /** Port that the server listens on; 0 before it listens. */
  get port(): number {
    const address = this.#server.address() as AddressInfo | null;
    return address?.port ?? 0;
  }

  /** Routes `method` on `path` to `handler`; a rejection is sent as a problem response. */
  route(method: HttpMethod, path: string, handler: Handler): void {
    this.#server[method](path, async (request: Request, response: Response) => {
      try {
        await handler(request, response);
      } catch (error) {
        this.#fail(response, toFailure(error));
      }
    });
  }

  async listen(): Promise<void> {
    const { port, host } = this.#options;
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** Stops accepting connections and closes idle ones; requests in progress continue. */
  stopAccepting(): void {
    this.#server.server.close();
    this.#server.server.closeIdleConnections();
  }

  async close(): Promise<void> {
    this.stopAccepting();
    for (const socket of this.#sockets) socket.destroy();
    return Promise.resolve();
  }

  #applyLimits(): void {
    const { bodyBytes, headerBytes, connections, headerTimeoutMs, bodyTimeoutMs } = this.#options;
    const { server } = this.#server;
    server.maxConnections = connections + EXCESS_CONNECTIONS;
    server.headersTimeout = headerTimeoutMs;
    server.requestTimeout = headerTimeoutMs + bodyTimeoutMs;
    server.keepAliveTimeout = KEEP_ALIVE_MS;
    Object.assign(server, {
      connectionsCheckingInterval: CONNECTION_CHECK_MS,
      maxHeaderSize: 2 * headerBytes,
    });
    server.on('connection', (socket: Socket) => {
      this.#trackSocket(socket);
    });
    const listeners = server.listeners('request') as RequestListener[];
    server.removeAllListeners('request');
    server.on('request', (request: IncomingMessage, response: ServerResponse) => {
      if (!this.#admit(request.socket, response)) return;
      for (const listener of listeners) listener.call(server, request, response);
    });
    server.on('checkExpectation', (_request: IncomingMessage, response: ServerResponse) => {
      this.#fail(response, new ExpectationUnsupported());
    });
    server.on('clientError', (error: Error, socket: Socket) => {
      this.#failSocket(error, socket);
    });
    this.#server.pre((request, response, next) => {
      request.headers['content-type'] ??= JSON_TYPE;
      const failure = this.#refusalOf(request);
      if (failure) this.#refuse(request, response, failure);
      next(failure ? false : undefined);
    });
    this.#server.use(plugins.queryParser({ mapParams: false }));
    this.#server.use(plugins.bodyReader({ maxBodySize: bodyBytes }));
    this.#server.use((request, _response, next) => {
      next(isAborted(request) ? false : undefined);
    });
  }

  #trackSocket(socket: Socket): void {
    if (this.#sockets.size >= this.#options.connections) this.#excessSockets.add(socket);
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.once('close', () => this.#sockets.delete(socket));
    socket.on('data', (bytes) => {
      this.#countIdleBytes(socket, bytes.length);
    });
  }

  /** Rejects a request, with its connection, when too many before it have no whole response yet. */
  #admit(socket: Socket, response: ServerResponse): boolean {
    if (socket.destroyed) return false;
    this.#responses.set(socket, response);
    this.#idleBytes.delete(socket);
    const open = (this.#openRequests.get(socket) ?? 0) + 1;
    this.#openRequests.set(socket, open);
    response.once('close', () => {
      this.#openRequests.set(socket, (this.#openRequests.get(socket) ?? 1) - 1);
    });
    if (open > MAX_PIPELINED_REQUESTS) socket.destroy();
    return !socket.destroyed;
  }

  /** Closes a connection that sends bytes which are no request, such as blank lines without end. */
  #countIdleBytes(socket: Socket, bytes: number): void {
    const response = this.#responses.get(socket);
    const isIdle = !response || (response.req.complete && response.writableFinished);
    if (!isIdle) return;
    const idleBytes = (this.#idleBytes.get(socket) ?? 0) + bytes;
    this.#idleBytes.set(socket, idleBytes);
    if (idleBytes > 2 * this.#options.headerBytes) socket.destroy();
  }

  /** Reason to refuse a request before its body is read; undefined when there is none. */
  #refusalOf(request: Request): Failure | undefined {
    const { headerBytes, connections } = this.#options;
    if (this.#excessSockets.has(request.socket)) return new ConnectionsExceeded(connections);
    const size = request.rawHeaders.reduce((sum, text) => sum + text.length, 0);
    if (size > headerBytes) return new HeaderTooLarge(headerBytes);
    return hasReadableBody(request) ? undefined : new ContentUnsupported();
  }

  /** Refuses a request whose body has not been read, and closes the connection afterwards. */
  #refuse(request: Request, response: Response, failure: Failure): void {
    response.shouldKeepAlive = false;
    request.resume();
    this.#fail(response, failure);
  }

  /** Responds to data that is not a complete HTTP request. */
  #failSocket(error: Error, socket: Socket): void {
    const response = this.#responses.get(socket);
    const isAnswering = response?.headersSent === true && !response.writableFinished;
    if (!socket.writable || isAnswering) {
      socket.destroy();
      return;
    }
    const failure = this.#socketFailure(error);
    this.#options.onFailure(failure);
    socket.end(toProblemMessage(failure));
  }

  #socketFailure(error: Error): Failure {
    const code = 'code' in error ? error.code : undefined;
    if (code === 'HPE_HEADER_OVERFLOW') return new HeaderTooLarge(this.#options.headerBytes);
    return code === 'ERR_HTTP_REQUEST_TIMEOUT' ? new RequestTimeout() : new RequestMalformed();
  }

  /**
   * Responds to errors that occur before a handler runs. The listener does not call its callback,
   * because restify would then send a second response.
   */
  #answerRoutingErrors(): void {
    this.#server.on('restifyError', (request: Request, response: Response, error: unknown) => {
      this.#fail(response, this.#routingFailure(request, error));
    });
  }

  #routingFailure(request: Request, error: unknown): Failure {
    const hasStatus = error instanceof Error && 'statusCode' in error;
    switch (hasStatus ? error.statusCode : undefined) {
      case HTTP_NOT_FOUND:
        return new PathUnknown(request.path());
      case HTTP_METHOD_NOT_ALLOWED:
        return new MethodNotAllowed(request.method ?? '');
      case HTTP_PAYLOAD_TOO_LARGE:
        return new BodyTooLarge(this.#options.bodyBytes);
      case HTTP_BAD_REQUEST:
        return new RequestMalformed();
      default:
        return toFailure(error);
    }
  }

  #fail(response: ServerResponse, failure: Failure): void {
    this.#options.onFailure(failure);
    sendProblem(response, failure);
  }
}

/** True when the connection was closed, by either side, before the request was complete. */
function isAborted(request: Request): boolean {
  return request.destroyed && !request.complete;
}

/**
 * True when the body is text without a content encoding. Other text types than JSON pass, because
 * callers often send JSON with a wrong content type.
 */
function hasReadableBody({ headers }: Request): boolean {
  const { 'content-encoding': encoding, 'content-type': type = JSON_TYPE } = headers;
  return encoding === undefined && READABLE_TYPE.test(type);
}
