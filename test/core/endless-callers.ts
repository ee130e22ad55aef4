import { connect } from 'node:net';
import type { Socket } from 'node:net';

interface CallerOptions {
  readonly port: number;
  /** Method and path of the request. */
  readonly target: string;
  /** Further lines of its head. */
  readonly headers: readonly string[];
  readonly kind: string;
}

const CALLERS = 16;
const RECONNECT_MS = 500;
const BLOCK_BYTES = 64 * 1024;

function repeat(text: string): string {
  return text.repeat(Math.ceil(BLOCK_BYTES / text.length));
}

function requestOf({ target, headers, kind }: CallerOptions): readonly [string, string] {
  const head = [`${target} HTTP/1.1`, 'Host: a.example', ...headers, ''].join('\r\n');
  const chunkedHead = `${head}Transfer-Encoding: chunked\r\n\r\n`;
  switch (kind) {
    case 'lines of a head':
      return [head, repeat(`X-Filler: ${'x'.repeat(1_000)}\r\n`)];
    case 'one header':
      return [`${head}X-Filler: `, repeat('x')];
    case 'a body with a length':
      return [`${head}Content-Length: 1000000000000\r\n\r\n`, repeat('x')];
    case 'a body in chunks':
      return [chunkedHead, `10000\r\n${'x'.repeat(BLOCK_BYTES)}\r\n`];
    case 'a body in chunks of 1 byte':
      return [chunkedHead, repeat('1\r\nx\r\n')];
    case 'a chunk extension':
      return [`${chunkedHead}1;`, repeat('x')];
    case 'digits of the size of a chunk':
      return [chunkedHead, repeat('0')];
    case 'trailers':
      return [`${chunkedHead}1\r\nx\r\n0\r\n`, repeat('X-Filler: x\r\n')];
    case 'blank lines before a head':
      return ['', repeat('\r\n')];
    case 'requests':
      return ['', repeat(`${head}Content-Length: 0\r\n\r\n`)];
    default:
      throw new TypeError(`unknown kind of request: ${kind}`);
  }
}

/** Callers that send bytes without end, and connect again when their connections are closed. */
export class EndlessCallers {
  static readonly kinds: readonly string[] = [
    'lines of a head',
    'one header',
    'a body with a length',
    'a body in chunks',
    'a body in chunks of 1 byte',
    'a chunk extension',
    'digits of the size of a chunk',
    'trailers',
    'blank lines before a head',
    'requests',
  ];

  readonly #options: CallerOptions;
  readonly #sockets = new Set<Socket>();
  #isClosed = false;

  constructor(options: CallerOptions) {
    this.#options = options;
    for (let index = 0; index < CALLERS; index += 1) this.#connect();
  }

  close(): void {
    this.#isClosed = true;
    for (const socket of this.#sockets) socket.destroy();
  }

  #connect(): void {
    if (this.#isClosed) return;
    const [first, block] = requestOf(this.#options);
    const socket = connect(this.#options.port, '127.0.0.1');
    this.#sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => {
      this.#sockets.delete(socket);
      setTimeout(() => {
        this.#connect();
      }, RECONNECT_MS);
    });
    // Its responses are not read.
    socket.pause();
    const write = (): void => {
      if (socket.destroyed) return;
      if (socket.write(block, 'latin1')) setImmediate(write);
      else socket.once('drain', write);
    };
    socket.once('connect', () => {
      socket.write(first, 'latin1');
      write();
    });
  }
}
