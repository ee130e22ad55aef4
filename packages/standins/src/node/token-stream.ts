import type { ServerResponse } from 'node:http';
import { omitFraming } from './omit-framing.ts';

interface TokenStreamOptions {
  readonly response: ServerResponse;
  readonly headers: Readonly<Record<string, string>>;
  /** The stream has neither a length nor chunks and ends with its connection. */
  readonly isUnframed: boolean;
}

/** Server-sent event stream of one generation. `freeze` simulates a connection that fails silently. */
export class TokenStream {
  readonly #response: ServerResponse;
  #frozen = false;

  constructor({ response, headers, isUnframed }: TokenStreamOptions) {
    this.#response = response;
    if (isUnframed) omitFraming(response);
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
    this.#response.write(textOf(event));
  }

  /** Sends the first half of an event and closes the connection in an orderly way. */
  cut(event: unknown): void {
    const text = textOf(event);
    this.#response.write(text.slice(0, text.length / 2));
    this.#response.socket?.destroySoon();
  }

  end(): void {
    if (!this.#frozen) this.#response.end();
  }

  /** Destroys the connection. */
  destroy(): void {
    this.#response.destroy();
  }
}

function textOf(event: unknown): string {
  return `data: ${JSON.stringify(event)}\n\n`;
}
