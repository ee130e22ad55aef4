import { Agent, request } from 'node:http';
import type { IncomingMessage, RequestOptions } from 'node:http';
import type { Closeable } from '@ragwortrudder/core';
import { CallFailed } from '../../errors/call-failed.ts';

const HTTP_REDIRECT = 300;
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
  async call(call: JsonCall): Promise<string> {
    return new Promise((resolve, reject) => {
      const fail = (cause: unknown): void => {
        clearTimeout(timer);
        clientRequest.destroy();
        reject(new CallFailed(call.address, cause));
      };
      const clientRequest = request(this.#toRequestOptions(call), (response) => {
        this.#readResponse(response, call.address).then((text) => {
          clearTimeout(timer);
          resolve(text);
        }, fail);
      });
      const timer = setTimeout(() => {
        fail(`no response within ${call.timeoutMs} ms`);
      }, call.timeoutMs);
      clientRequest.on('error', fail);
      clientRequest.end(call.body);
    });
  }

  close(): Promise<void> {
    this.#agent.destroy();
    return Promise.resolve();
  }

  #toRequestOptions({ address, path, body, key }: JsonCall): RequestOptions {
    const { hostname, port } = new URL(`http://${address}`);
    const content =
      body === undefined
        ? {}
        : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) };
    const authorization = key === undefined ? {} : { authorization: `Bearer ${key}` };
    return {
      agent: this.#agent,
      ...{ hostname: hostname.replace(/^\[|\]$/g, ''), port, path },
      method: body === undefined ? 'GET' : 'POST',
      headers: { ...content, ...authorization },
    };
  }

  async #readResponse(response: IncomingMessage, address: string): Promise<string> {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of response as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > this.#maxResponseBytes)
        throw new CallFailed(address, 'the response exceeds the maximum size');
      chunks.push(chunk);
    }
    const status = response.statusCode ?? 0;
    if (status >= HTTP_REDIRECT) throw new CallFailed(address, `status ${status}`);
    return Buffer.concat(chunks).toString('utf8');
  }
}
