import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

interface SlowRequest {
  readonly id: string;
  readonly path: string;
  readonly pieces: readonly string[];
  readonly pauseMs: number;
  readonly isChunked: boolean;
  readonly expectsContinue: boolean;
}

interface ParsedResponse {
  readonly status: number;
  readonly id: string | undefined;
  readonly body: string;
  readonly isComplete: boolean;
}

const HEAD_END = '\r\n\r\n';
const FIRST_FINAL_STATUS = 200;

/** The first final response in `text`, and what follows it. */
function parseResponse(text: string): readonly [ParsedResponse, string] | undefined {
  const end = text.indexOf(HEAD_END);
  if (end < 0) return undefined;
  const head = text.slice(0, end);
  const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(head)?.[1] ?? 0);
  const rest = text.slice(end + HEAD_END.length);
  if (status < FIRST_FINAL_STATUS) return parseResponse(rest);
  const id = /^request-id: (\S+)/im.exec(head)?.[1];
  if (/^transfer-encoding: chunked/im.test(head)) {
    const [body, after] = parseChunks(rest);
    return [{ status, id, body, isComplete: after !== undefined }, after ?? ''];
  }
  const length = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0);
  const body = rest.slice(0, length);
  return [{ status, id, body, isComplete: body.length === length }, rest.slice(length)];
}

/** The content of a chunked body, and what follows it; undefined if the body has not ended. */
function parseChunks(text: string): readonly [string, string | undefined] {
  let body = '';
  let rest = text;
  for (;;) {
    const size = /^([0-9a-f]+)\r\n/i.exec(rest);
    if (!size?.[1]) return [body, undefined];
    const length = Number.parseInt(size[1], 16);
    const from = size[0].length;
    if (rest.length < from + length + 2) return [body, undefined];
    body += rest.slice(from, from + length);
    rest = rest.slice(from + length + 2);
    if (length === 0) return [body, rest];
  }
}

/** Caller that sends requests piece by piece on one connection. */
export class SlowCaller {
  readonly #socket: Socket;
  /** When the last byte of each request was sent, by its id. */
  readonly sentAt = new Map<string, number>();
  /** Settles once the connection has closed. */
  readonly closed: Promise<void>;
  #closedAt: number | undefined;
  #received = '';

  constructor(port: number) {
    this.#socket = connect({ port, host: '127.0.0.1', noDelay: true });
    this.#socket.on('data', (bytes) => {
      this.#received += bytes.toString('latin1');
    });
    this.#socket.on('error', () => undefined);
    this.closed = new Promise((resolve) => {
      this.#socket.once('close', () => {
        this.#closedAt = performance.now();
        resolve();
      });
    });
  }

  get isClosed(): boolean {
    return this.#closedAt !== undefined;
  }

  /** When the connection closed; undefined while it is open. */
  get closedAt(): number | undefined {
    return this.#closedAt;
  }

  /** Final responses in the order in which they arrived; the last one may not be complete. */
  get responses(): readonly ParsedResponse[] {
    const responses: ParsedResponse[] = [];
    let rest = this.#received;
    for (;;) {
      const parsed = parseResponse(rest);
      if (!parsed) return responses;
      responses.push(parsed[0]);
      rest = parsed[1];
    }
  }

  /** Sends a request; settles when its last byte has been sent or the connection has closed. */
  async send(request: SlowRequest): Promise<void> {
    const { id, path, pieces, pauseMs, isChunked, expectsContinue } = request;
    const length = pieces.reduce((sum, piece) => sum + piece.length, 0);
    const head = [
      `POST ${path} HTTP/1.1`,
      'Host: a.example',
      `Request-Id: ${id}`,
      'X-Api-Key: key',
      'Deadline-Ms: 8000',
      isChunked ? 'Transfer-Encoding: chunked' : `Content-Length: ${length}`,
      ...(expectsContinue ? ['Expect: 100-continue'] : []),
      '',
      '',
    ].join('\r\n');
    this.#socket.write(head);
    for (const piece of pieces) {
      await sleep(pauseMs);
      if (this.isClosed) return;
      this.#socket.write(isChunked ? `${piece.length.toString(16)}\r\n${piece}\r\n` : piece);
    }
    if (isChunked) this.#socket.write('0\r\n\r\n');
    this.sentAt.set(id, performance.now());
  }

  /** Settles once `count` responses have arrived or the connection has closed. */
  async receive(count: number): Promise<void> {
    for (;;) {
      const complete = this.responses.filter(({ isComplete }) => isComplete);
      if (complete.length >= count || this.isClosed) return;
      await sleep(10);
    }
  }

  destroy(): void {
    this.#socket.destroy();
  }
}
