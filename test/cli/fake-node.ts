import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

/** HTTP server that stands in for a node; tests set its answers. */
export class FakeNode {
  readonly #server: Server;
  readonly #handlers = new Map<string, Handler>();
  /** Calls received, `METHOD path`. */
  readonly calls: string[] = [];

  private constructor() {
    this.#server = createServer((request, response) => {
      const name = `${request.method ?? ''} ${request.url ?? ''}`;
      this.calls.push(name);
      const handler = this.#handlers.get(name);
      if (handler) handler(request, response);
      else response.writeHead(404).end();
    });
  }

  static async start(): Promise<FakeNode> {
    const node = new FakeNode();
    await new Promise<void>((resolve) => {
      node.#server.listen(0, '127.0.0.1', resolve);
    });
    return node;
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  on(call: string, handler: Handler): void {
    this.#handlers.set(call, handler);
  }

  /** Answers successive calls with these JSON bodies; the last one is repeated. */
  answers(call: string, bodies: readonly unknown[], status = 200): void {
    let next = 0;
    this.on(call, (_request, response) => {
      const body = bodies[Math.min(next, bodies.length - 1)];
      next += 1;
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(JSON.stringify(body));
    });
  }

  /** Answers successive calls with these event streams; a stream without a final event is cut off. */
  streams(call: string, streams: readonly (readonly string[])[]): void {
    let next = 0;
    this.on(call, (_request, response) => {
      const events = streams[next] ?? [];
      next += 1;
      response.writeHead(200, { 'content-type': 'text/event-stream' });
      response.write(events.join(''));
      setTimeout(() => {
        if (/event: (?:done|failed)/.test(events.at(-1) ?? '')) response.end();
        else response.destroy();
      }, 20);
    });
  }

  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }
}
