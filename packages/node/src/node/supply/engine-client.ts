import { Agent } from 'node:http';
import { injectable } from 'inversify';
import { callHttp, isSuccess } from '@ragwortrudder/core';
import type { Closeable, HttpCall } from '@ragwortrudder/core';
import { CallFailed } from '../../errors/call-failed.ts';
import type { EngineOrder } from '../../types/engine-order.ts';
import { EngineState } from '../../types/engine-state.ts';
import type { OrderReply } from '../../types/order-reply.ts';

const MAX_SOCKETS_PER_ENGINE = 2;
const REQUEST_TIMEOUT_MS = 2000;
/** Bound of a reply, in bytes. */
const MAX_REPLY_BYTES = 64 * 1024;
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
    const { status, body } = await callHttp(this.#callTo(endpoint));
    if (!isSuccess(status)) throw new CallFailed(endpoint, `status ${status}`);
    return EngineState.parse(JSON.parse(body.toString())).state;
  }

  /** Sends one order and classifies the response. */
  async order(endpoint: string, order: EngineOrder): Promise<OrderReply> {
    try {
      const { status, headers } = await callHttp({
        ...this.#callTo(endpoint),
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(order),
      });
      if (status === HTTP_CONFLICT) return { kind: 'old-fence' };
      if (status !== HTTP_TOO_MANY_REQUESTS) return { kind: isSuccess(status) ? 'done' : 'failed' };
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

  #callTo(endpoint: string): HttpCall {
    return {
      url: `http://${endpoint}/orders`,
      agent: this.#agent,
      timeoutMs: REQUEST_TIMEOUT_MS,
      maxBodyBytes: MAX_REPLY_BYTES,
    };
  }
}
