import { inject, injectable } from 'inversify';
import type { z } from 'zod';
import { callHttp, isSuccess } from '@ragwortrudder/core';
import type { Closeable, HttpCall, HttpReply } from '@ragwortrudder/core';
import type { Settings } from '@ragwortrudder/settings';
import { CacheSnapshotResponse } from '../../types/cache-snapshot-response.ts';
import { CacheEventsResponse } from '../../types/cache-events-response.ts';
import { CallFailed } from '../../errors/call-failed.ts';
import { RunnerLoad } from '../../types/runner-load.ts';
import { tokens } from '../../types/tokens.ts';
import { JsonClient } from '../http/json-client.ts';

const MAX_SOCKETS_PER_RUNNER = 4;
const KV_TRANSFER_TIMEOUT_MS = 30_000;
/** Bound of a report: the snapshot of a cache with 200,000 prefixes. */
const MAX_REPORT_BYTES = 4 * 1024 * 1024;
/** Bound of an exported KV cache. */
const MAX_KV_BYTES = 16 * 1024 * 1024;

/**
 * Calls to runners other than the requests themselves: load, cache state, cancellation and moves of
 * KV caches.
 */
@injectable()
export class RunnerClient implements Closeable {
  readonly #httpClient = new JsonClient({
    maxSockets: MAX_SOCKETS_PER_RUNNER,
    maxResponseBytes: MAX_REPORT_BYTES,
  });
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
    const { body } = await callSuccessfully(endpoint, {
      url: `http://${endpoint}/load`,
      timeoutMs: this.#timeoutMs,
      maxBodyBytes: MAX_REPORT_BYTES,
    });
    return RunnerLoad.parse(JSON.parse(body.toString()));
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
    await callHttp({
      url: `http://${endpoint}/generate/${encodeURIComponent(requestId)}`,
      method: 'DELETE',
      timeoutMs: this.#timeoutMs,
      maxBodyBytes: MAX_REPORT_BYTES,
    });
  }

  /** Copies the KV cache of a generation from one engine to another. */
  async moveKv(options: {
    readonly from: string;
    readonly to: string;
    readonly requestId: string;
  }): Promise<void> {
    const exported = await callSuccessfully(options.from, {
      url: `http://${options.from}/kv/${encodeURIComponent(options.requestId)}`,
      timeoutMs: KV_TRANSFER_TIMEOUT_MS,
      maxBodyBytes: MAX_KV_BYTES,
    });
    await callSuccessfully(options.to, {
      url: `http://${options.to}/kv`,
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: exported.body,
      timeoutMs: KV_TRANSFER_TIMEOUT_MS,
      maxBodyBytes: MAX_REPORT_BYTES,
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

async function callSuccessfully(address: string, call: HttpCall): Promise<HttpReply> {
  const reply = await callHttp(call);
  if (isSuccess(reply.status)) return reply;
  throw new CallFailed(address, `status ${reply.status}`);
}
