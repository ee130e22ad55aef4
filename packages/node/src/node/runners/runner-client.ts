import got from 'got';
import { inject, injectable } from 'inversify';
import type { z } from 'zod';
import type { Closeable } from '@ragwortrudder/core';
import type { Settings } from '@ragwortrudder/settings';
import { CacheSnapshotResponse } from '../../types/cache-snapshot-response.ts';
import { CacheEventsResponse } from '../../types/cache-events-response.ts';
import { RunnerLoad } from '../../types/runner-load.ts';
import { tokens } from '../../types/tokens.ts';
import { JsonClient } from '../http/json-client.ts';

const MAX_SOCKETS_PER_RUNNER = 4;
const KV_TRANSFER_TIMEOUT_MS = 30_000;

/**
 * Calls to runners other than the requests themselves: load, cache state, cancellation and moves of
 * KV caches.
 */
@injectable()
export class RunnerClient implements Closeable {
  readonly #httpClient = new JsonClient({ maxSockets: MAX_SOCKETS_PER_RUNNER });
  readonly #timeoutMs: number;

  constructor(@inject(tokens.settings) settings: Settings) {
    this.#timeoutMs = settings.requests.runnerConnectMs;
  }

  /** Reads the load report. */
  async load(endpoint: string): Promise<RunnerLoad> {
    return this.#get(endpoint, '/load', RunnerLoad);
  }

  /** Reads the load report on a new connection. */
  async probe(endpoint: string): Promise<RunnerLoad> {
    const response = await got(`http://${endpoint}/load`, {
      timeout: { request: this.#timeoutMs },
      retry: { limit: 0 },
      headers: { connection: 'close' },
    }).json();
    return RunnerLoad.parse(response);
  }

  /** Reads cache events after `seq`. */
  async cacheEvents(endpoint: string, seq: number): Promise<CacheEventsResponse> {
    return this.#get(endpoint, `/cache/events?after=${seq}`, CacheEventsResponse);
  }

  /** Reads all prefixes in the engine's cache. */
  async cacheSnapshot(endpoint: string): Promise<CacheSnapshotResponse> {
    return this.#get(endpoint, '/cache/snapshot', CacheSnapshotResponse);
  }

  /** Cancels a generation on a new connection. */
  async cancel(endpoint: string, requestId: string): Promise<void> {
    await got.delete(`http://${endpoint}/generate/${encodeURIComponent(requestId)}`, {
      timeout: { request: this.#timeoutMs },
      retry: { limit: 0 },
      throwHttpErrors: false,
    });
  }

  /** Copies the KV cache of a generation from one engine to another. */
  async moveKv(options: {
    readonly from: string;
    readonly to: string;
    readonly requestId: string;
  }): Promise<void> {
    const exported = await got(
      `http://${options.from}/kv/${encodeURIComponent(options.requestId)}`,
      {
        timeout: { request: KV_TRANSFER_TIMEOUT_MS },
        retry: { limit: 0 },
      },
    ).text();
    await got.post(`http://${options.to}/kv`, {
      body: exported,
      headers: { 'content-type': 'application/json' },
      timeout: { request: KV_TRANSFER_TIMEOUT_MS },
      retry: { limit: 0 },
    });
  }

  async close(): Promise<void> {
    await this.#httpClient.close();
  }

  async #get<T>(address: string, path: string, schema: z.ZodType<T>): Promise<T> {
    const text = await this.#httpClient.call({ address, path, timeoutMs: this.#timeoutMs });
    return schema.parse(JSON.parse(text));
  }
}
