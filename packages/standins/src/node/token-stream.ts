import type { ServerResponse } from 'node:http';

/** Server-sent event stream of one generation. `freeze` simulates a connection that fails silently. */
export class TokenStream {
  readonly #response: ServerResponse;
  #frozen = false;

  constructor(response: ServerResponse, headers: Readonly<Record<string, string>>) {
    this.#response = response;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
      ...headers,
    });
    response.flushHeaders();
  }

  freeze(): void {
    this.#frozen = true;
  }

  send(event: unknown): void {
    if (this.#frozen || this.#response.destroyed) return;
    this.#response.write(`data: ${JSON.stringify(event)}\n\n`);
  }

  end(): void {
    if (!this.#frozen) this.#response.end();
  }

  /** Destroys the connection. */
  destroy(): void {
    this.#response.destroy();
  }
}
