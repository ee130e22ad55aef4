import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import type { Duplex } from 'node:stream';
import type { Address, CallerLimits } from '@ragwortrudder/catalog';
import type { Closeable, Failure } from '@ragwortrudder/core';
import { Refusal } from '../errors/refusal.ts';
import { RequestInvalid } from '../errors/request-invalid.ts';
import type { CallerRequest } from '../types/caller-request.ts';
import type { Dialect } from '../types/dialect.ts';
import { CallerChannel } from './caller-channel.ts';
import type { DecisionLog } from './decision-log.ts';

interface CallerServerOptions<Request extends CallerRequest> {
  readonly address: Address;
  readonly dialect: Dialect<Request>;
  readonly log: DecisionLog;
  readonly onRequest: (request: Request, channel: CallerChannel) => Promise<void>;
}

const HTTP_BAD_REQUEST = 400;
const HTTP_REQUEST_TIMEOUT = 408;
const HTTP_PAYLOAD_TOO_LARGE = 413;
const HTTP_HEADERS_TOO_LARGE = 431;
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

const PARSER_STATUS: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: HTTP_HEADERS_TOO_LARGE,
  ERR_HTTP_REQUEST_TIMEOUT: HTTP_REQUEST_TIMEOUT,
};

function headerBytes({ rawHeaders }: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

/** HTTP server for callers: reads complete requests within the limits and passes them to `onRequest`. */
export class CallerServer<Request extends CallerRequest = CallerRequest> implements Closeable {
  readonly #options: CallerServerOptions<Request>;
  readonly #server: Server;
  readonly #sockets = new Map<Socket, number>();
  #limits: CallerLimits = DEFAULT_LIMITS;
  #isStopping = false;

  constructor(options: CallerServerOptions<Request>) {
    this.#options = options;
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: CHECK_PERIOD_MS,
      noDelay: true,
    });
    this.#server.on('request', (request, response) => {
      void this.#receive(request, response);
    });
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.#refuseUnparsed(error, socket);
    });
    this.#server.on('connection', (socket) => {
      this.#sockets.set(socket, 0);
      socket.on('close', () => {
        this.#sockets.delete(socket);
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

  async listen(): Promise<void> {
    const { host, port } = this.#options.address;
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ host, port, backlog: BACKLOG }, resolve);
    });
  }

  /** Closes each connection after its next response. */
  disableKeepAlive(): void {
    this.#isStopping = true;
  }

  /** Closes connections that have no request in progress. */
  closeIdleConnections(): void {
    for (const [socket, requests] of this.#sockets) if (requests === 0) socket.end();
  }

  async close(): Promise<void> {
    this.#server.close();
    for (const socket of this.#sockets.keys()) socket.destroy();
    return Promise.resolve();
  }

  async #receive(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const { dialect, log, onRequest } = this.#options;
    const { socket } = message;
    this.#countRequests(socket, 1);
    response.once('close', () => {
      this.#countRequests(socket, -1);
    });
    const channel = new CallerChannel({
      response,
      method: message.method ?? 'GET',
      dialect,
      isStopping: () => this.#isStopping,
    });
    try {
      const request = await this.#read(message);
      if (request) await onRequest(request, channel);
    } catch (error) {
      const failure =
        error instanceof Refusal || error instanceof RequestInvalid ? error : undefined;
      log.notable('request-not-read', {
        reason: error instanceof Error ? error.message : String(error),
        code: failure?.code,
      });
      if (!failure) {
        response.destroy();
        return;
      }
      this.#refuse(failure, response, message);
    }
  }

  /** Reads a complete request; undefined when the caller disconnected before its end. */
  async #read(message: IncomingMessage): Promise<Request | undefined> {
    const { headerBytes: maxHeaderBytes, bodyBytes } = this.#limits;
    if (headerBytes(message) > maxHeaderBytes) {
      throw new Refusal('header-too-large', { status: HTTP_HEADERS_TOO_LARGE });
    }
    const { 'transfer-encoding': encoding } = message.headers;
    if (encoding !== undefined && encoding.toLowerCase() !== 'chunked') {
      throw new RequestInvalid(`transfer encoding ${encoding} is not supported`);
    }
    const body = await bodyOf(message, bodyBytes);
    if (body === 'broken') return undefined;
    const { method = 'GET', url: target = '/', rawHeaders } = message;
    return this.#options.dialect.parseRequest({ method, target, rawHeaders }, body);
  }

  #refuse(failure: Failure, response: ServerResponse, message: IncomingMessage): void {
    const isComplete = message.complete;
    const headers: Record<string, string> = { 'content-length': '0' };
    if (!isComplete) headers.connection = 'close';
    response.writeHead(failure.status, headers);
    response.end();
  }

  #refuseUnparsed(error: NodeJS.ErrnoException, socket: Duplex): void {
    const hasWritten = socket instanceof Socket && socket.bytesWritten > 0;
    if (!socket.writable || hasWritten || error.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const status = PARSER_STATUS[error.code ?? ''] ?? HTTP_BAD_REQUEST;
    socket.end(`HTTP/1.1 ${status} Refused\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  }

  #countRequests(socket: Socket, change: number): void {
    const count = this.#sockets.get(socket);
    if (count !== undefined) this.#sockets.set(socket, count + change);
  }
}

function bodyOf(
  message: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined | 'broken'> {
  const { headers } = message;
  const hasBody =
    headers['transfer-encoding'] !== undefined || headers['content-length'] !== undefined;
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    message.on('data', (bytes: Buffer) => {
      size += bytes.length;
      if (size > maxBytes) {
        message.pause();
        reject(new Refusal('body-too-large', { status: HTTP_PAYLOAD_TOO_LARGE }));
        return;
      }
      chunks.push(bytes);
    });
    message.on('end', () => {
      resolve(hasBody ? Buffer.concat(chunks) : undefined);
    });
    message.on('error', () => {
      resolve('broken');
    });
    message.on('close', () => {
      resolve('broken');
    });
  });
}
