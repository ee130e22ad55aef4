import { SystemClock } from '@ragwortrudder/core';
import type { Clock, Closeable } from '@ragwortrudder/core';
import { LogExpired } from '../errors/log-expired.ts';
import { LogRateExceeded } from '../errors/log-rate-exceeded.ts';
import { LogRecordTooLarge } from '../errors/log-record-too-large.ts';
import { LogUnavailable } from '../errors/log-unavailable.ts';
import type { Log } from '../types/log.ts';
import type { LogAppend } from '../types/log-append.ts';
import type { LogPage } from '../types/log-page.ts';
import type { LogRead } from '../types/log-read.ts';
import type { LogRecord } from '../types/log-record.ts';
import type { MemoryLogFaults } from '../types/memory-log-faults.ts';
import type { MemoryLogOptions } from '../types/memory-log-options.ts';

const RECORD_LIMIT_BYTES = 256 * 1024;

/** In-memory {@link Log} with fault injection, for tests. */
export class MemoryLog implements Log, Closeable {
  readonly #clock: Clock;
  readonly #limitBytes: number;
  readonly #faults: MemoryLogFaults;
  readonly #waiters = new Set<() => void>();
  #records: LogRecord[] = [];
  #first = 0;
  #isClosed = false;

  constructor(options: MemoryLogOptions = {}) {
    this.#clock = options.clock ?? new SystemClock();
    this.#limitBytes = options.recordLimitBytes ?? RECORD_LIMIT_BYTES;
    this.#faults = options.faults ?? {};
  }

  /** All retained records. */
  get records(): readonly LogRecord[] {
    return this.#records;
  }

  /** Offset of the next record to be appended. */
  get next(): number {
    return this.#first + this.#records.length;
  }

  async append({ id, body }: LogAppend): Promise<number> {
    await Promise.resolve();
    if (this.#isDown('append')) throw new LogUnavailable('the log is down');
    const throttleMs = this.#faults.throttleMs?.();
    if (throttleMs !== undefined) throw new LogRateExceeded(throttleMs);
    const text = JSON.stringify({ id, body });
    if (Buffer.byteLength(text) > this.#limitBytes) throw new LogRecordTooLarge();
    const offset = this.next;
    const copy = JSON.parse(text) as LogAppend;
    this.#records.push({ offset, id, time: this.#clock.wall(), body: copy.body });
    this.#notifyWaiters();
    if (this.#faults.loseReply?.({ id, body })) throw new LogUnavailable('the reply was lost');
    return offset;
  }

  async read({ from, limit, waitMs, signal }: LogRead): Promise<LogPage> {
    await Promise.resolve();
    if (this.#visibleEnd() <= from && waitMs > 0) await this.#wait(waitMs, signal);
    if (signal?.aborted) throw new LogUnavailable('the read was aborted');
    if (this.#isDown('read')) throw new LogUnavailable('the log is down');
    const next = this.#visibleEnd();
    if (from < this.#first) throw new LogExpired(this.#first, next);
    const records = this.#records.slice(
      from - this.#first,
      Math.min(next - this.#first, from - this.#first + limit),
    );
    return { records, next, first: this.#first };
  }

  /** Drops the records before offset `first`, as log retention does. */
  expire(first: number): void {
    this.#records = this.#records.slice(Math.max(0, first - this.#first));
    this.#first = Math.max(first, this.#first);
  }

  close(): Promise<void> {
    this.#isClosed = true;
    this.#notifyWaiters();
    return Promise.resolve();
  }

  #isDown(call: 'append' | 'read'): boolean {
    return this.#isClosed || (this.#faults.down?.(call) ?? false);
  }

  #visibleEnd(): number {
    return Math.max(this.#first, this.next - (this.#faults.lagRecords?.() ?? 0));
  }

  #notifyWaiters(): void {
    for (const resume of this.#waiters) resume();
  }

  #wait(waitMs: number, signal: AbortSignal | undefined): Promise<void> {
    if (this.#isClosed || signal?.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const resume = (): void => {
        clearTimeout(timer);
        this.#waiters.delete(resume);
        signal?.removeEventListener('abort', resume);
        resolve();
      };
      const timer = setTimeout(resume, waitMs);
      this.#waiters.add(resume);
      signal?.addEventListener('abort', resume);
    });
  }
}
