import { Agent } from 'node:http';
import { createParser } from 'eventsource-parser';
import got from 'got';
import { inject, injectable } from 'inversify';
import type { Closeable } from '@ragwortrudder/core';
import type { Settings } from '@ragwortrudder/settings';
import { EngineEvent } from '../../types/engine-event.ts';
import type { Generation } from '../../types/generation.ts';
import { tokens } from '../../types/tokens.ts';

const MAX_SOCKETS_PER_ENGINE = 1024;

/** Streams generations from model engines. */
@injectable()
export class ModelClient implements Closeable {
  readonly #agent = new Agent({ keepAlive: true, maxSockets: MAX_SOCKETS_PER_ENGINE });
  readonly #connectMs: number;

  constructor(@inject(tokens.settings) settings: Settings) {
    this.#connectMs = settings.requests.runnerConnectMs;
  }

  /** Yields the engine's events; throws when the connection fails or `signal` aborts. */
  async *generate(
    endpoint: string,
    generation: Generation,
    signal: AbortSignal,
  ): AsyncGenerator<EngineEvent> {
    const stream = got.stream.post(`http://${endpoint}/generate`, {
      body: JSON.stringify(generation),
      headers: { 'content-type': 'application/json', accept: 'text/event-stream' },
      agent: { http: this.#agent },
      timeout: { lookup: this.#connectMs, connect: this.#connectMs },
      retry: { limit: 0 },
      decompress: false,
      signal,
    });
    const events: EngineEvent[] = [];
    const parser = createParser({
      onEvent: (event) => {
        events.push(EngineEvent.parse(JSON.parse(event.data)));
      },
    });
    stream.setEncoding('utf8');
    for await (const chunk of stream) {
      parser.feed(String(chunk));
      yield* events.splice(0);
    }
  }

  close(): Promise<void> {
    this.#agent.destroy();
    return Promise.resolve();
  }
}
