import { Agent as HttpAgent } from 'node:http';
import { Agent as HttpsAgent } from 'node:https';
import type { Closeable } from '@ragwortrudder/core';
import { got, RequestError, TimeoutError } from 'got';
import type { Got } from 'got';
import { PlatformUnavailable } from '../errors/platform-unavailable.ts';
import type { PlatformAnswer } from '../types/platform-answer.ts';
import type { PlatformCall } from '../types/platform-call.ts';
import type { PlatformClientOptions } from '../types/platform-client-options.ts';

const DEFAULT_TIMEOUT_MS = 5_000;
const CONNECT_TIMEOUT_MS = 2_000;
const DEFAULT_MAX_SOCKETS = 8;
/** Errors that occur before anything is written to a connection, so the call had no effect. */
const CONNECT_ERRORS: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
]);
const CONNECT_PHASES: ReadonlySet<string> = new Set(['lookup', 'connect', 'secureConnect']);

/** JSON client over HTTP with a limited number of connections, time-outs and no retries. */
export class PlatformHttp implements Closeable {
  readonly #client: Got;
  readonly #timeoutMs: number;
  readonly #agents: { readonly http: HttpAgent; readonly https: HttpsAgent };

  constructor({
    baseUrl,
    timeoutMs = DEFAULT_TIMEOUT_MS,
    maxSockets = DEFAULT_MAX_SOCKETS,
  }: PlatformClientOptions) {
    const options = { keepAlive: true, maxSockets };
    this.#timeoutMs = timeoutMs;
    this.#agents = { http: new HttpAgent(options), https: new HttpsAgent(options) };
    this.#client = got.extend({
      prefixUrl: baseUrl,
      agent: this.#agents,
      retry: { limit: 0 },
      throwHttpErrors: false,
      followRedirect: false,
    });
  }

  /** Returns the answer to a request, whatever its status; throws `PlatformUnavailable` without one. */
  async call({
    method,
    path,
    query,
    body,
    waitMs = 0,
    signal,
  }: PlatformCall): Promise<PlatformAnswer> {
    try {
      const response = await this.#client(path, {
        method,
        timeout: this.#timeouts(waitMs),
        ...(query ? { searchParams: query } : {}),
        ...(method === 'POST' ? { json: body ?? {} } : {}),
        ...(signal ? { signal } : {}),
      });
      const { statusCode: status, headers } = response;
      return { status, retryAfter: headers['retry-after'], body: parseJson(response.body) };
    } catch (error) {
      throw toPlatformUnavailable(error);
    }
  }

  close(): Promise<void> {
    this.#agents.http.destroy();
    this.#agents.https.destroy();
    return Promise.resolve();
  }

  #timeouts(waitMs: number): Readonly<Record<string, number>> {
    const connect = Math.min(CONNECT_TIMEOUT_MS, this.#timeoutMs);
    const exchangeTimeoutMs = this.#timeoutMs + waitMs;
    return {
      lookup: connect,
      connect,
      secureConnect: connect,
      socket: exchangeTimeoutMs,
      send: this.#timeoutMs,
      response: exchangeTimeoutMs,
      read: this.#timeoutMs,
      request: exchangeTimeoutMs + connect,
    };
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function toPlatformUnavailable(error: unknown): PlatformUnavailable {
  if (!(error instanceof RequestError)) {
    return new PlatformUnavailable('the call to the platform failed', { cause: error });
  }
  const notRun =
    CONNECT_ERRORS.has(error.code) ||
    (error instanceof TimeoutError && CONNECT_PHASES.has(error.event));
  return new PlatformUnavailable(error.message, { cause: error, notRun });
}
