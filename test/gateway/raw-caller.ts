import { connect } from 'node:net';
import type { Socket } from 'node:net';

interface RawRequest {
  readonly id: string;
  readonly body?: string;
  /** Header lines that frame the body; by default its length. */
  readonly framing?: readonly string[];
}

/** Time after the end of a connection during which its caller can still send, in milliseconds. */
const OPEN_MS = 200;

/** Head of a request to the route of the harness, without its body. */
export function requestHead({ id, body = 'hello', framing }: RawRequest): string {
  return [
    'POST /p/x HTTP/1.1',
    'Host: a.example',
    `Request-Id: ${id}`,
    'X-Api-Key: key',
    'Deadline-Ms: 8000',
    ...(framing ?? [`Content-Length: ${body.length}`]),
    '',
    '',
  ].join('\r\n');
}

/** Whole request to the route of the harness. */
export function requestText(request: RawRequest): string {
  return requestHead(request) + (request.body ?? 'hello');
}

/** Caller that writes raw bytes to one connection. */
export class RawCaller {
  readonly socket: Socket;
  /** Settles once the connection has closed. */
  readonly closed: Promise<void>;
  #received = '';

  constructor(port: number, host = '127.0.0.1') {
    this.socket = connect({ port, host, noDelay: true, allowHalfOpen: true });
    this.socket.once('end', () => {
      setTimeout(() => this.socket.end(), OPEN_MS);
    });
    this.socket.on('data', (bytes) => {
      this.#received += bytes.toString('latin1');
    });
    this.socket.on('error', () => undefined);
    this.closed = new Promise((resolve) => {
      this.socket.once('close', () => {
        resolve();
      });
    });
  }

  /** All bytes that were received. */
  get received(): string {
    return this.#received;
  }

  /** Status of each response, with the id of its request if it has one. */
  get responses(): readonly string[] {
    return this.#received
      .split(/(?=HTTP\/1\.1 \d{3} )/)
      .filter((text) => text !== '')
      .map((text) => {
        const status = /^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? '';
        const id = /^request-id: (\S+)/im.exec(text)?.[1];
        return id === undefined ? status : `${status} ${id}`;
      });
  }

  send(text: string): void {
    this.socket.write(text);
  }
}
