import { Agent } from 'node:http';
import { callHttp, isSuccess } from '@ragwortrudder/core';
import type { Closeable } from '@ragwortrudder/core';
import { CallFailed } from '../../errors/call-failed.ts';

const DEFAULT_MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

interface JsonClientOptions {
  /** Maximum number of connections to one address. */
  readonly maxSockets: number;
  /** @default 64 MiB */
  readonly maxResponseBytes?: number;
}

interface JsonCall {
  /** `host:port`. */
  readonly address: string;
  readonly path: string;
  /** JSON text, sent by `POST`; without it the call is a `GET`. */
  readonly body?: string;
  /** Key for the `Authorization` header. */
  readonly key?: string;
  /** Time for the whole exchange in milliseconds. */
  readonly timeoutMs: number;
}

/** Client for short JSON calls over HTTP on keep-alive connections, with few headers. */
export class JsonClient implements Closeable {
  readonly #agent: Agent;
  readonly #maxResponseBytes: number;

  constructor({ maxSockets, maxResponseBytes = DEFAULT_MAX_RESPONSE_BYTES }: JsonClientOptions) {
    this.#agent = new Agent({ keepAlive: true, maxSockets });
    this.#maxResponseBytes = maxResponseBytes;
  }

  /**
   * Makes one call without retries and returns the response body.
   * @throws {@link CallFailed} when no successful response arrives in time; the call may still have
   * taken effect.
   */
  async call({ address, path, body, key, timeoutMs }: JsonCall): Promise<string> {
    const reply = await callHttp({
      url: `http://${address}${path}`,
      method: body === undefined ? 'GET' : 'POST',
      headers: {
        ...(body === undefined ? {} : { 'content-type': 'application/json' }),
        ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
      },
      ...(body === undefined ? {} : { body }),
      agent: this.#agent,
      timeoutMs,
      maxBodyBytes: this.#maxResponseBytes,
    }).catch((error: unknown) => {
      throw new CallFailed(address, error);
    });
    if (!isSuccess(reply.status)) throw new CallFailed(address, `status ${reply.status}`);
    return reply.body.toString('utf8');
  }

  close(): Promise<void> {
    this.#agent.destroy();
    return Promise.resolve();
  }
}
