import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import type { Duplex } from 'node:stream';
import type { Address, CallerLimits } from '@ragwortrudder/catalog';
import { PeriodicTask } from '@ragwortrudder/core';
import type { Closeable } from '@ragwortrudder/core';
import { Refusal } from '../errors/refusal.ts';
import { RequestInvalid } from '../errors/request-invalid.ts';
import type { CallerRequest } from '../types/caller-request.ts';
import type { Dialect } from '../types/dialect.ts';
import { CallerChannel } from './caller-channel.ts';
import { CallerConnection } from './caller-connection.ts';
import type { DecisionLog } from './decision-log.ts';
import type { GatewayMetrics } from './gateway-metrics.ts';
import type { Intake } from './intake.ts';
import { readBody } from './read-body.ts';

interface CallerServerOptions<Request extends CallerRequest> {
  readonly address: Address;
  readonly dialect: Dialect<Request>;
  readonly intake: Intake;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  readonly onRequest: (request: Request, channel: CallerChannel) => Promise<void>;
}

interface ReceivedMessage {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly connection: CallerConnection;
}

const HTTP_BAD_REQUEST = 400;
const HTTP_REQUEST_TIMEOUT = 408;
const HTTP_HEADERS_TOO_LARGE = 431;
const HTTP_INTERNAL_ERROR = 500;
/** Limits until a configuration is active. */
const DEFAULT_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 1_048_576,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};
/** Hard limit of the HTTP parser for headers, in bytes; the configured limit is lower. */
const MAX_HEADER_BYTES = 65_536;
const CHECK_PERIOD_MS = 500;
const BACKLOG = 1_024;
/** Time allowed for the body, in addition to that for the headers, in milliseconds. */
const BODY_TIMEOUT_MS = 10_000;
/** Requests that may arrive on a connection before the first of them is answered. */
const MAX_PIPELINED_REQUESTS = 64;
const EXCESSIVE_FRAMING = 'excessive-framing';
const TOO_MANY_REQUESTS = 'too-many-requests';
/** Interval between checks of what connections have received, in milliseconds. */
const FRAMING_CHECK_PERIOD_MS = 100;

const PARSER_STATUS: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: HTTP_HEADERS_TOO_LARGE,
  ERR_HTTP_REQUEST_TIMEOUT: HTTP_REQUEST_TIMEOUT,
};

function headerBytes({ rawHeaders }: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

function refusalText(status: number, headers: ReadonlyMap<string, string> = new Map()): string {
  const lines = [...headers].map(([name, value]) => `${name}: ${value}\r\n`).join('');
  return `HTTP/1.1 ${status} Refused\r\n${lines}Connection: close\r\nContent-Length: 0\r\n\r\n`;
}

/** HTTP server for callers: reads complete requests within the limits and passes them to `onRequest`. */
export class CallerServer<Request extends CallerRequest = CallerRequest> implements Closeable {
  readonly #options: CallerServerOptions<Request>;
  readonly #server: Server;
  readonly #connections = new Map<Socket, CallerConnection>();
  #limits: CallerLimits = DEFAULT_LIMITS;
  readonly #framingCheck: PeriodicTask;
  #isStopping = false;
  #receivedCount = 0;

  constructor(options: CallerServerOptions<Request>) {
    this.#options = options;
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: CHECK_PERIOD_MS,
      noDelay: true,
      // The parser would answer such requests itself, as many as come.
      requireHostHeader: false,
    });
    this.#framingCheck = new PeriodicTask({
      periodMs: FRAMING_CHECK_PERIOD_MS,
      run: () => {
        this.#checkFraming();
      },
      onFailure: options.log.onTaskFailure('framing'),
    });
    this.#server.on('request', (message, response) => {
      void this.#receive(message, response);
    });
    this.#server.on('connect', (_message, socket) => {
      const cause = 'method-not-supported';
      this.#logEnd(cause, {});
      const connection = socket instanceof Socket ? this.#connections.get(socket) : undefined;
      connection?.end({ cause, response: refusalText(HTTP_BAD_REQUEST) });
    });
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.#refuseUnparsed(error, socket);
    });
    this.#server.on('timeout', (socket: Socket) => {
      this.#connections.get(socket)?.closeIfIdle('idle');
    });
    this.#server.on('connection', (socket) => {
      const connection = new CallerConnection(socket, options.intake.turns);
      this.#connections.set(socket, connection);
      // After a hand-over the server listens for no errors any more; `endCause` tells of them.
      socket.on('error', () => undefined);
      socket.on('close', () => {
        this.#connections.delete(socket);
        if (connection.endCause !== 'idle') return;
        this.#options.metrics.count('connections_ended', { cause: 'idle' });
      });
    });
    this.setLimits(DEFAULT_LIMITS);
  }

  /** Applies limits to subsequent requests. */
  setLimits(limits: CallerLimits): void {
    this.#limits = limits;
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.requestTimeout = limits.headerTimeoutMs + BODY_TIMEOUT_MS;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** Port that the server listens on; 0 before it listens. */
  get port(): number {
    const address = this.#server.address() as AddressInfo | null;
    return address?.port ?? 0;
  }

  /** Requests whose responses have not been sent completely. */
  get requestCount(): number {
    return [...this.#connections.values()].reduce((sum, item) => sum + item.requestCount, 0);
  }

  /** Requests received since the start. */
  get receivedCount(): number {
    return this.#receivedCount;
  }

  async listen(): Promise<void> {
    const { host, port } = this.#options.address;
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ host, port, backlog: BACKLOG }, resolve);
    });
    // For example, a connection that could not be accepted for want of descriptors.
    this.#server.on('error', this.#options.log.onTaskFailure('accept'));
    this.#framingCheck.start();
  }

  /** Closes each connection after its next response. */
  disableKeepAlive(): void {
    this.#isStopping = true;
  }

  /** Closes connections that have no request in progress. */
  closeIdleConnections(): void {
    for (const connection of this.#connections.values()) {
      connection.closeIfIdle('node-stopping');
    }
  }

  /** Closes all connections, together with the requests in progress. */
  async close(): Promise<void> {
    this.#server.close();
    for (const connection of this.#connections.values()) connection.destroy('node-closed');
    await this.#framingCheck.close();
  }

  async #receive(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const connection = this.#connections.get(message.socket);
    if (!connection) return;
    const received = { message, response, connection };
    if (connection.endCause !== undefined) {
      this.#drop(received);
      return;
    }
    this.#receivedCount += 1;
    const turn = connection.addRequest(message, response);
    if (connection.requestCount > MAX_PIPELINED_REQUESTS) {
      this.#logEnd(TOO_MANY_REQUESTS, { requests: connection.requestCount });
      connection.destroy(TOO_MANY_REQUESTS);
    }
    let isSent = false;
    // A response also finishes when it is written to a connection that has been closed.
    response.prependOnceListener('finish', () => {
      isSent = !message.socket.destroyed;
    });
    response.once('close', () => {
      if (!isSent) this.#logCut(received);
    });
    const arrivedAt = performance.now();
    await turn;
    if (connection.isOpen) await this.#serve(received, performance.now() - arrivedAt);
    else this.#drop(received);
  }

  async #serve(received: ReceivedMessage, waitedMs: number): Promise<void> {
    const { dialect, onRequest } = this.#options;
    const { message, response, connection } = received;
    const channel = new CallerChannel({
      response,
      method: message.method ?? 'GET',
      dialect,
      isStopping: () => this.#isStopping && connection.requestCount === 1,
    });
    try {
      const request = await this.#read(received);
      if (!request || connection.hasRefused(message)) return;
      await onRequest(withDeadlineIn(request, waitedMs), channel);
    } catch (error) {
      this.#fail(error, received, channel);
    }
  }

  /** Reads a complete request; undefined when the caller disconnected before its end. */
  async #read(received: ReceivedMessage): Promise<Request | undefined> {
    const { message } = received;
    const { bodies } = this.#options.intake;
    const { headerBytes: maxHeaderBytes, bodyBytes: maxBytes } = this.#limits;
    if (headerBytes(message) > maxHeaderBytes) {
      throw new Refusal('header-too-large', { status: HTTP_HEADERS_TOO_LARGE });
    }
    const { 'transfer-encoding': encoding, host } = message.headers;
    if (host === undefined && message.httpVersion === '1.1') {
      throw new RequestInvalid('header host is missing');
    }
    if (encoding !== undefined && encoding.toLowerCase() !== 'chunked') {
      throw new RequestInvalid(`transfer encoding ${encoding} is not supported`);
    }
    const body = await readBody({ ...received, bodies, maxBytes });
    if (body === 'broken') return undefined;
    const { method = 'GET', url: target = '/', rawHeaders } = message;
    return this.#options.dialect.parseRequest({ method, target, rawHeaders }, body);
  }

  /** Answers a request that could not be read, or in whose handling the node failed. */
  #fail(error: unknown, received: ReceivedMessage, channel: CallerChannel): void {
    const { log, metrics, dialect } = this.#options;
    const { message, response, connection } = received;
    const request = this.#idOf(message);
    const reason = error instanceof Error ? error.message : String(error);
    const isRefusal = error instanceof Refusal || error instanceof RequestInvalid;
    if (!isRefusal) {
      metrics.count('refusals', { cause: 'node-failed' });
      log.notable('request-failed', { request, reason, hasBegun: response.headersSent });
      channel.fail(new Refusal('node-failed', { status: HTTP_INTERNAL_ERROR }), request);
      return;
    }
    metrics.count('refusals', { cause: error.code });
    log.notable('request-not-read', { request, reason, code: error.code });
    const hasDelay = error.retryAfterMs !== undefined;
    const headers = hasDelay ? dialect.errorHeaders(request, error) : new Map<string, string>();
    if (message.complete) {
      response.writeHead(error.status, { ...Object.fromEntries(headers), 'content-length': '0' });
      response.end();
      return;
    }
    message.resume();
    connection.end({ cause: error.code, response: refusalText(error.status, headers) });
  }

  /** Leaves a request without an answer that arrived on a connection which is being closed. */
  #drop({ message, connection }: ReceivedMessage): void {
    message.resume();
    this.#options.metrics.count('requests_dropped', { cause: connection.endCause ?? '' });
    // One read can have thousands of them; the line on the end of the connection stands for all.
    if (connection.endCause === TOO_MANY_REQUESTS) return;
    this.#options.log.notable('request-dropped', {
      request: this.#idOf(message),
      cause: connection.endCause,
    });
  }

  /** Logs that a request that was received did not get a complete response. */
  #logCut({ message, response, connection }: ReceivedMessage): void {
    if (connection.hasRefused(message)) return;
    const { log, metrics } = this.#options;
    const cause = connection.endCause ?? 'response-aborted';
    const fields = {
      request: this.#idOf(message),
      cause,
      wasRead: message.complete,
      hasBegun: response.headersSent,
    };
    metrics.count('responses_cut', { cause, hasBegun: String(response.headersSent) });
    if (cause === 'caller-left') log.routine('response-cut', fields);
    else log.notable('response-cut', fields);
  }

  #refuseUnparsed(error: NodeJS.ErrnoException, socket: Duplex): void {
    const connection = socket instanceof Socket ? this.#connections.get(socket) : undefined;
    if (!connection || !socket.writable || error.syscall !== undefined) {
      socket.destroy();
      return;
    }
    const status = PARSER_STATUS[error.code ?? ''] ?? HTTP_BAD_REQUEST;
    const cause = error.code ?? 'parser-error';
    if (connection.endCause === undefined) {
      this.#logEnd(cause, { status, requests: connection.requestCount });
    }
    connection.end({ cause, response: refusalText(status) });
  }

  /** Ends connections that bring more framing than sound callers need, also without a request. */
  #checkFraming(): void {
    for (const connection of this.#connections.values()) {
      if (connection.endCause !== undefined || !connection.exceedsFraming) continue;
      const status = HTTP_BAD_REQUEST;
      this.#logEnd(EXCESSIVE_FRAMING, { status, requests: connection.requestCount });
      connection.end({ cause: EXCESSIVE_FRAMING, response: refusalText(status) });
    }
  }

  #logEnd(cause: string, fields: Readonly<Record<string, number>>): void {
    this.#options.metrics.count('connections_ended', { cause });
    this.#options.log.notable('connection-ended', { cause, ...fields });
  }

  /** Id of a request, as far as its head is valid. */
  #idOf({ method = 'GET', url: target = '/', rawHeaders }: IncomingMessage): string | undefined {
    try {
      return this.#options.dialect.parseRequest({ method, target, rawHeaders }, undefined).id;
    } catch (error) {
      if (error instanceof RequestInvalid) return undefined;
      throw error;
    }
  }
}

/** The caller's time goes on while earlier requests on its connection are served. */
function withDeadlineIn<Request extends CallerRequest>(
  request: Request,
  waitedMs: number,
): Request {
  if (request.deadlineMs === undefined) return { ...request, waitedMs };
  return { ...request, waitedMs, deadlineMs: Math.max(0, request.deadlineMs - waitedMs) };
}
