import { Agent } from 'node:http';
import got from 'got';
import { injectable } from 'inversify';
import type { Closeable } from '@ragwortrudder/core';
import type { EngineOrder } from '../../types/engine-order.ts';
import { EngineState } from '../../types/engine-state.ts';
import type { OrderReply } from '../../types/order-reply.ts';

const MAX_SOCKETS_PER_ENGINE = 2;
const REQUEST_TIMEOUT_MS = 2000;
const MS_PER_SECOND = 1000;
const DEFAULT_RETRY_AFTER_MS = 1000;
const HTTP_CONFLICT = 409;
const HTTP_TOO_MANY_REQUESTS = 429;

/** Reads the state of model engines and sends them orders under the lease of a supply job. */
@injectable()
export class EngineClient implements Closeable {
  // Replies do not name their order: on a reused connection a late or repeated one would acknowledge the
  // next order.
  readonly #agent = new Agent({ keepAlive: false, maxSockets: MAX_SOCKETS_PER_ENGINE });

  /** Reads the state that the engine was last ordered to serve. */
  async state(endpoint: string): Promise<EngineState['state']> {
    const response = await got(`http://${endpoint}/orders`, this.#requestOptions()).json();
    return EngineState.parse(response).state;
  }

  /** Sends one order and classifies the response. */
  async order(endpoint: string, order: EngineOrder): Promise<OrderReply> {
    try {
      const { statusCode, headers, ok } = await got.post(`http://${endpoint}/orders`, {
        ...this.#requestOptions(),
        json: order,
        throwHttpErrors: false,
      });
      if (statusCode === HTTP_CONFLICT) return { kind: 'old-fence' };
      if (statusCode !== HTTP_TOO_MANY_REQUESTS) return { kind: ok ? 'done' : 'failed' };
      const seconds = Number(headers['retry-after']);
      const retryAfterMs = seconds > 0 ? seconds * MS_PER_SECOND : DEFAULT_RETRY_AFTER_MS;
      return { kind: 'throttled', retryAfterMs };
    } catch {
      return { kind: 'failed' };
    }
  }

  close(): Promise<void> {
    this.#agent.destroy();
    return Promise.resolve();
  }

  #requestOptions(): {
    readonly agent: { readonly http: Agent };
    readonly timeout: { readonly request: number };
    readonly retry: { readonly limit: number };
  } {
    return {
      agent: { http: this.#agent },
      timeout: { request: REQUEST_TIMEOUT_MS },
      retry: { limit: 0 },
    };
  }
}
