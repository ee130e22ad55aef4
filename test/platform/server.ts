import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Request received by the test server. */
export interface ReceivedRequest {
  readonly method: string;
  readonly url: string;
  readonly body: unknown;
  /** Client's port, which identifies the connection. */
  readonly port: number | undefined;
}

/** Answers a request; `drop` closes the connection without an answer, and `hang` never answers. */
export type Handler = (received: ReceivedRequest) => HandlerResult | Promise<HandlerResult>;

type HandlerResult = Reply | 'drop' | 'hang';

/** Answer of the test server. */
export interface Reply {
  readonly status: number;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** HTTP server for tests, on a free port of the loopback interface. */
export class TestServer {
  readonly requests: ReceivedRequest[] = [];
  readonly #server: Server;

  private constructor(handler: Handler) {
    this.#server = createServer((request, response) => {
      void this.#answer(handler, request, response);
    });
  }

  static async start(handler: Handler): Promise<TestServer> {
    const server = new TestServer(handler);
    await new Promise<void>((resolve) => {
      server.#server.listen(0, '127.0.0.1', resolve);
    });
    return server;
  }

  get url(): string {
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Number of open connections. */
  connections(): Promise<number> {
    return new Promise((resolve) => {
      this.#server.getConnections((_error, count) => {
        resolve(count);
      });
    });
  }

  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => {
        resolve();
      });
      this.#server.closeAllConnections();
    });
  }

  async #answer(
    handler: Handler,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const text = Buffer.concat(chunks).toString('utf8');
    const body = text === '' ? undefined : (JSON.parse(text) as unknown);
    const { remotePort: port } = request.socket;
    const received = { method: request.method ?? '', url: request.url ?? '', body, port };
    this.requests.push(received);
    const reply = await handler(received);
    if (reply === 'hang') return;
    if (reply === 'drop') {
      request.socket.destroy();
      return;
    }
    response.writeHead(reply.status, { 'content-type': 'application/json', ...reply.headers });
    const content = reply.body ?? {};
    response.end(typeof content === 'string' ? content : JSON.stringify(content));
  }
}
