import { Agent as HttpAgent } from 'node:http';
import { Agent as HttpsAgent } from 'node:https';
import { CallFailure, callHttp } from '@ragwortrudder/core';
import type { Closeable } from '@ragwortrudder/core';
import { PlatformUnavailable } from '../errors/platform-unavailable.ts';
import type { PlatformAnswer } from '../types/platform-answer.ts';
import type { PlatformCall } from '../types/platform-call.ts';
import type { PlatformClientOptions } from '../types/platform-client-options.ts';

const DEFAULT_TIMEOUT_MS = 5_000;
const CONNECT_TIMEOUT_MS = 2_000;
const DEFAULT_MAX_SOCKETS = 8;
/** Bound of an answer, in bytes. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** JSON client over HTTP with a limited number of connections, time-outs and no retries. */
export class PlatformHttp implements Closeable {
  readonly #baseUrl: string;
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
    this.#baseUrl = baseUrl.replace(/\/$/, '');
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
    const url = new URL(`${this.#baseUrl}/${path}`);
    for (const [name, value] of Object.entries(query ?? {})) {
      url.searchParams.set(name, String(value));
    }
    const connectTimeoutMs = Math.min(CONNECT_TIMEOUT_MS, this.#timeoutMs);
    try {
      const reply = await callHttp({
        url,
        method,
        headers: {
          accept: 'application/json',
          ...(method === 'POST' ? { 'content-type': 'application/json' } : {}),
        },
        ...(method === 'POST' ? { body: JSON.stringify(body ?? {}) } : {}),
        agent: url.protocol === 'https:' ? this.#agents.https : this.#agents.http,
        timeoutMs: this.#timeoutMs + waitMs + connectTimeoutMs,
        connectTimeoutMs,
        maxBodyBytes: MAX_ANSWER_BYTES,
        ...(signal ? { signal } : {}),
      });
      const { status, headers } = reply;
      return { status, retryAfter: headers['retry-after'], body: parseJson(reply.body.toString()) };
    } catch (error) {
      throw toPlatformUnavailable(error);
    }
  }

  close(): Promise<void> {
    this.#agents.http.destroy();
    this.#agents.https.destroy();
    return Promise.resolve();
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
  if (!(error instanceof CallFailure)) {
    return new PlatformUnavailable('the call to the platform failed', { cause: error });
  }
  return new PlatformUnavailable(error.message, { cause: error, notRun: error.notRun });
}
