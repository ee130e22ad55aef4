import type { Clock } from '@ragwortrudder/core';
import * as z from 'zod';
import type { HttpCall } from '../types/http-call.ts';
import type { HttpReply } from '../types/http-reply.ts';
import type { LogRecord } from '../types/log-record.ts';
import type { Retention } from '../types/retention.ts';
import { LogStream } from '../utils/log-stream.ts';
import { RateLimit } from '../utils/rate-limit.ts';
import { parseBody } from './parse-body.ts';

interface PlatformLogOptions {
  readonly clock: Clock;
  readonly appendsPerSecond: number;
  readonly recordLimitBytes: number;
  readonly retention: Retention;
}

const DEFAULT_READ_LIMIT = 1000;
const MAX_READ_LIMIT = 10_000;
const MAX_WAIT_MS = 30_000;
const recordSchema = z.object({ id: z.string().min(1), body: z.unknown() });

function queryNumber(call: HttpCall, name: string, fallback: number): number {
  const value = Number(call.query.get(name) ?? fallback);
  return Number.isFinite(value) ? Math.max(0, Math.trunc(value)) : fallback;
}

/** Log service: append-only streams with offsets and limits on append rate, record size and retention. */
export class PlatformLog {
  readonly #options: PlatformLogOptions;
  readonly #streams = new Map<string, LogStream>();
  readonly #waiters = new Map<string, Set<() => void>>();
  readonly #rate: RateLimit;
  #retention: Retention;

  constructor(options: PlatformLogOptions) {
    this.#options = options;
    this.#rate = new RateLimit(options.appendsPerSecond, options.clock);
    this.#retention = options.retention;
  }

  setRetention(retention: Retention): void {
    this.#retention = retention;
  }

  /** Returns every record ever appended to a stream, including expired ones. */
  dump(name: string): readonly LogRecord[] {
    return this.#stream(name).all;
  }

  append(call: HttpCall): HttpReply {
    const { id, body } = parseBody(recordSchema, call.body);
    const limit = this.#options.recordLimitBytes;
    if (Buffer.byteLength(JSON.stringify(body ?? null)) > limit) {
      return { status: 413, body: { code: 'record-too-large', limit } };
    }
    if (!this.#rate.take()) {
      return { status: 429, body: { code: 'append-rate' }, headers: { 'retry-after': '1' } };
    }
    const name = call.params.stream ?? '';
    const offset = this.#stream(name).append(id, body);
    this.#wakeWaiters(name);
    return { status: 201, body: { offset } };
  }

  async read(call: HttpCall): Promise<HttpReply> {
    const name = call.params.stream ?? '';
    const stream = this.#stream(name);
    const from = queryNumber(call, 'from', stream.first);
    const limit = Math.min(queryNumber(call, 'limit', DEFAULT_READ_LIMIT), MAX_READ_LIMIT);
    const waitMs = Math.min(queryNumber(call, 'waitMs', 0), MAX_WAIT_MS);
    if (from >= stream.next && waitMs > 0) await this.#waitForAppend(name, waitMs);
    stream.expire(this.#retention);
    const { first, next } = stream;
    if (from < first) return { status: 410, body: { code: 'expired', first, next } };
    const records = stream.read(from, limit);
    return { status: 200, body: { records, next: from + records.length, first } };
  }

  #stream(name: string): LogStream {
    const stream = this.#streams.get(name) ?? new LogStream(this.#options.clock);
    this.#streams.set(name, stream);
    return stream;
  }

  #wakeWaiters(name: string): void {
    const waiters = this.#waiters.get(name) ?? [];
    this.#waiters.delete(name);
    for (const wake of waiters) wake();
  }

  async #waitForAppend(name: string, waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const waiters = this.#waiters.get(name) ?? new Set();
      const wake = () => {
        clearTimeout(timer);
        waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      timer.unref();
      this.#waiters.set(name, waiters.add(wake));
    });
  }
}
