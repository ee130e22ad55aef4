import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

/** Bytes that are no whole answer: sent once, and then without end. */
interface EndlessAnswer {
  readonly first: string;
  readonly block: string;
}

interface ServerAnswer {
  readonly kind: string;
  /** Whole answer to requests whose path has `sound` in it. */
  readonly sound: string;
}

const BLOCK_BYTES = 64 * 1024;
const HEAD_END = '\r\n\r\n';
const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nStore-Era: 1\r\n';
const CHUNKED_HEAD = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;

function repeat(text: string): string {
  return text.repeat(Math.ceil(BLOCK_BYTES / text.length));
}

function answerOf(kind: string): EndlessAnswer {
  switch (kind) {
    case 'lines of a head':
      return { first: HEAD, block: repeat(`X-Filler: ${'x'.repeat(1_000)}\r\n`) };
    case 'one header':
      return { first: `${HEAD}X-Filler: `, block: repeat('x') };
    case 'a body with a length':
      return { first: `${HEAD}Content-Length: 1000000000000\r\n\r\n`, block: repeat('x') };
    case 'a body in chunks':
      return { first: CHUNKED_HEAD, block: `10000\r\n${'x'.repeat(BLOCK_BYTES)}\r\n` };
    case 'a body in chunks of 1 byte':
      return { first: CHUNKED_HEAD, block: repeat('1\r\nx\r\n') };
    case 'a body without framing':
      return { first: `${HEAD}Connection: close\r\n\r\n`, block: repeat('x') };
    case 'events':
      return {
        first: `${HEAD}Connection: close\r\n\r\n`,
        block: repeat('event: token\ndata: 1\n\n'),
      };
    case 'comments in chunks':
      return { first: CHUNKED_HEAD, block: repeat('2\r\n:\n\r\n') };
    case 'trailers':
      return { first: `${CHUNKED_HEAD}1\r\nx\r\n0\r\n`, block: repeat('X-Filler: x\r\n') };
    case 'interim responses':
      return { first: '', block: repeat('HTTP/1.1 102 Processing\r\n\r\n') };
    case 'digits of the size of a chunk':
      return { first: CHUNKED_HEAD, block: repeat('0') };
    case 'a chunk extension':
      return { first: `${CHUNKED_HEAD}1;`, block: repeat('x') };
    case 'blank lines before a head':
      return { first: '', block: repeat('\r\n') };
    default:
      throw new TypeError(`unknown kind of answer: ${kind}`);
  }
}

/** Server that answers with bytes without end, except to requests for a path with `sound` in it. */
export class EndlessServer {
  static readonly kinds: readonly string[] = [
    'lines of a head',
    'one header',
    'a body with a length',
    'a body in chunks',
    'a body in chunks of 1 byte',
    'a body without framing',
    'trailers',
    'interim responses',
    'digits of the size of a chunk',
    'a chunk extension',
    'blank lines before a head',
  ];

  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  constructor({ kind, sound }: ServerAnswer) {
    const answer = answerOf(kind);
    this.#server = createServer((socket) => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
      socket.on('error', () => undefined);
      let head = '';
      socket.on('data', (bytes) => {
        head += bytes.toString('latin1');
        if (!head.includes(HEAD_END)) return;
        const isSound = head.split('\r\n', 1)[0]?.includes('sound') ?? false;
        head = '';
        if (isSound) {
          socket.write(`${HEAD}Content-Length: ${sound.length}\r\n\r\n${sound}`);
          return;
        }
        socket.removeAllListeners('data');
        socket.resume();
        socket.write(answer.first);
        writeEndlessly(socket, answer.block);
      });
    });
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  async listen(): Promise<this> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    return this;
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }
}

function writeEndlessly(socket: Socket, block: string): void {
  const write = (): void => {
    if (socket.destroyed) return;
    if (socket.write(block, 'latin1')) setImmediate(write);
    else socket.once('drain', write);
  };
  write();
}
