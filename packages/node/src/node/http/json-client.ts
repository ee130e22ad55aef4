import { Agent, request } from 'node:http';
import type { IncomingMessage, RequestOptions } from 'node:http';
import type { Closeable } from '@ragwortrudder/core';
import { CallFailed } from '../../errors/call-failed.ts';

const HTTP_REDIRECT = 300;
const DEFAULT_MAX_ANSWER_BYTES = 64 * 1024 * 1024;

interface JsonClientOptions {
  /** Connections to one address. */
  readonly maxSockets: number;
  /** @default 64 MiB */
  readonly maxAnswerBytes?: number;
}

interface JsonCall {
  /** `host:port`. */
  readonly address: string;
  readonly path: string;
  /** JSON text; without it the call is a `GET`. */
  readonly body?: string;
  /** Key for the `Authorization` header. */
  readonly key?: string;
  /** Time for the whole exchange in milliseconds. */
  readonly timeoutMs: number;
}

/** Short JSON calls over HTTP with few headers, on connections that are kept open. */
export class JsonClient implements Closeable {
  readonly #agent: Agent;
  readonly #maxAnswerBytes: number;

  constructor({ maxSockets, maxAnswerBytes = DEFAULT_MAX_ANSWER_BYTES }: JsonClientOptions) {
    this.#agent = new Agent({ keepAlive: true, maxSockets });
    this.#maxAnswerBytes = maxAnswerBytes;
  }

  /**
   * Makes one call, never repeated, and returns the text of its answer.
   * @throws {@link CallFailed} when no successful answer came in time; the call may have taken effect.
   */
  async call(call: JsonCall): Promise<string> {
    return new Promise((resolve, reject) => {
      const fail = (cause: unknown): void => {
        clearTimeout(timer);
        sent.destroy();
        reject(new CallFailed(call.address, cause));
      };
      const sent = request(this.#requestOf(call), (response) => {
        this.#readAnswer(response, call.address).then((text) => {
          clearTimeout(timer);
          resolve(text);
        }, fail);
      });
      const timer = setTimeout(() => {
        fail(`no answer within ${call.timeoutMs} ms`);
      }, call.timeoutMs);
      sent.on('error', fail);
      sent.end(call.body);
    });
  }

  close(): Promise<void> {
    this.#agent.destroy();
    return Promise.resolve();
  }

  #requestOf({ address, path, body, key }: JsonCall): RequestOptions {
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

  async #readAnswer(response: IncomingMessage, address: string): Promise<string> {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of response as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > this.#maxAnswerBytes) throw new CallFailed(address, 'the answer is too large');
      chunks.push(chunk);
    }
    const status = response.statusCode ?? 0;
    if (status >= HTTP_REDIRECT) throw new CallFailed(address, `status ${status}`);
    return Buffer.concat(chunks).toString('utf8');
  }
}
