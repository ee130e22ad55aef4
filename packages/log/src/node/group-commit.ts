import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { Failure } from '@ragwortrudder/core';
import type { Closeable } from '@ragwortrudder/core';
import { LogRateExceeded } from '../errors/log-rate-exceeded.ts';
import { LogRecordTooLarge } from '../errors/log-record-too-large.ts';
import { WriteAbandoned } from '../errors/write-abandoned.ts';
import { WriteQueueFull } from '../errors/write-queue-full.ts';
import type { Entry } from '../types/entry.ts';
import type { GroupCommitCounters } from '../types/group-commit-counters.ts';
import type { GroupCommitOptions } from '../types/group-commit-options.ts';
import type { Position } from '../types/position.ts';
import type { WriteOptions } from '../types/write-options.ts';
import type { Writer } from '../types/writer.ts';
import { AppendPacer } from '../utils/append-pacer.ts';
import { Backoff } from '../utils/backoff.ts';
import { PendingWrite } from '../utils/pending-write.ts';
import { POSITIONS_PER_RECORD } from '../utils/positions-per-record.ts';

const MAX_QUEUED = 8_192;
const MAX_QUEUED_BYTES = 8 * 1024 * 1024;
const RECORD_LIMIT_BYTES = 256 * 1024;
const RECORD_OVERHEAD_BYTES = 256;
const WRITE_TIMEOUT_MS = 10_000;

/** One append with the writes that it carries. */
interface Batch {
  readonly id: string;
  readonly writes: readonly PendingWrite[];
}

/**
 * Writes entries to a stream with at most one append in flight: what is queued meanwhile goes into the next.
 * An append that failed is sent again only after a read to the end of the log did not show its entries.
 */
export class GroupCommit implements Writer, Closeable {
  readonly #options: GroupCommitOptions;
  readonly #backoff: Backoff;
  readonly #pending = new Map<string, PendingWrite>();
  readonly #closing = new AbortController();
  readonly #unsubscribe: () => void;
  readonly #counters = { appends: 0, entries: 0, retries: 0, readBacks: 0, throttled: 0 };
  readonly #pacer: AppendPacer;
  readonly #queue = new Set<PendingWrite>();
  #queuedBytes = 0;
  #isDraining = false;
  #lastAppendAt = -Infinity;

  constructor(options: GroupCommitOptions) {
    this.#options = options;
    this.#backoff = new Backoff(options.random, options.backoff);
    this.#pacer = new AppendPacer(options.random);
    this.#unsubscribe = options.follower.subscribe(({ entries }) => {
      this.#resolve(entries);
    });
  }

  get counters(): GroupCommitCounters {
    return { ...this.#counters };
  }

  /** Number of writes that wait to be appended. */
  get queued(): number {
    return this.#queue.size;
  }

  async write(body: unknown, options: WriteOptions = {}): Promise<Position> {
    if (this.#closing.signal.aborted) throw new WriteAbandoned(false, 'refused after close');
    const id = options.id ?? randomUUID();
    const known = this.#pending.get(id);
    if (known) return known.promise;
    const write = this.#create(id, body, options.timeoutMs);
    this.#enqueue(write);
    void this.#drain();
    return write.promise;
  }

  /** Rejects all writes in progress with `WriteAbandoned`. */
  close(): Promise<void> {
    this.#closing.abort();
    this.#unsubscribe();
    for (const write of this.#pending.values()) this.#abandon(write, 'ended by close');
    return Promise.resolve();
  }

  #create(id: string, body: unknown, timeoutMs: number | undefined): PendingWrite {
    const { maxQueued = MAX_QUEUED, maxQueuedBytes = MAX_QUEUED_BYTES } = this.#options;
    const write = new PendingWrite({ id, body });
    if (write.bytes > this.#limitBytes()) throw new LogRecordTooLarge();
    if (this.#queue.size >= maxQueued) throw new WriteQueueFull(`${maxQueued} entries`);
    if (this.#queue.size > 0 && this.#queuedBytes + write.bytes > maxQueuedBytes) {
      throw new WriteQueueFull(`${maxQueuedBytes} bytes`);
    }
    this.#pending.set(id, write);
    const delay = timeoutMs ?? this.#options.timeoutMs ?? WRITE_TIMEOUT_MS;
    write.startTimer(delay, () => {
      this.#abandon(write, 'timed out');
    });
    return write;
  }

  #enqueue(write: PendingWrite): void {
    this.#queue.add(write);
    this.#queuedBytes += write.bytes;
  }

  #dequeue(write: PendingWrite): void {
    if (this.#queue.delete(write)) this.#queuedBytes -= write.bytes;
  }

  #limitBytes(): number {
    return (this.#options.recordLimitBytes ?? RECORD_LIMIT_BYTES) - RECORD_OVERHEAD_BYTES;
  }

  #abandon(write: PendingWrite, reason: string): void {
    this.#pending.delete(write.entry.id);
    this.#dequeue(write);
    write.reject(new WriteAbandoned(write.mayBeSent, reason));
  }

  #resolve(entries: readonly Entry[]): void {
    for (const { id, position } of entries) {
      const write = this.#pending.get(id);
      if (!write) continue;
      this.#pending.delete(id);
      this.#counters.entries += 1;
      write.resolve(position);
    }
  }

  async #drain(): Promise<void> {
    if (this.#isDraining) return;
    this.#isDraining = true;
    await Promise.resolve();
    while (this.#queue.size > 0) {
      await this.#pace();
      await this.#commit(this.#takeBatch());
    }
    this.#isDraining = false;
  }

  /** Leaves the interval that the log's append rate allows; what is queued meanwhile joins the batch. */
  async #pace(): Promise<void> {
    const delay = this.#pacer.delayMs(performance.now() - this.#lastAppendAt);
    if (delay > 0) await this.#sleep(delay);
  }

  #takeBatch(): Batch {
    const maxBatch = Math.min(this.#options.maxBatch ?? POSITIONS_PER_RECORD, POSITIONS_PER_RECORD);
    let bytes = 0;
    let count = 0;
    for (const write of this.#queue) {
      bytes += write.bytes + 1;
      if (count === maxBatch || (count > 0 && bytes > this.#limitBytes())) break;
      count += 1;
    }
    const writes = [...this.#queue].slice(0, count);
    for (const write of writes) this.#dequeue(write);
    return { id: randomUUID(), writes };
  }

  /** Appends a batch until it succeeds, is seen in the log, or all its writes are abandoned. */
  async #commit(first: Batch): Promise<void> {
    let batch = first;
    for (let attempt = 0; ; attempt += 1) {
      batch = withoutSettled(batch);
      if (batch.writes.length === 0) return;
      if (attempt > 0) this.#counters.retries += 1;
      const failure = await this.#append(batch);
      if (!failure) return;
      if (failure instanceof LogRecordTooLarge) return this.#split(batch, failure);
      await this.#recover(batch, failure);
    }
  }

  /** Sends one append; returns its failure. */
  async #append({ id, writes }: Batch): Promise<unknown> {
    this.#counters.appends += 1;
    this.#lastAppendAt = performance.now();
    const unsent = writes.filter(({ mayBeSent }) => !mayBeSent);
    for (const write of writes) write.mayBeSent = true;
    try {
      await this.#options.log.append({ id, body: { entries: writes.map(({ entry }) => entry) } });
      this.#backoff.reset();
      this.#pacer.taken();
      return undefined;
    } catch (error) {
      if (isProvedNotRun(error)) for (const write of unsent) write.mayBeSent = false;
      return error;
    }
  }

  async #split({ writes }: Batch, failure: LogRecordTooLarge): Promise<void> {
    const half = Math.ceil(writes.length / 2);
    if (half === writes.length) {
      for (const write of writes) this.#refuse(write, failure);
      return;
    }
    await this.#commit({ id: randomUUID(), writes: writes.slice(0, half) });
    await this.#commit({ id: randomUUID(), writes: writes.slice(half) });
  }

  #refuse(write: PendingWrite, failure: Failure): void {
    this.#pending.delete(write.entry.id);
    write.reject(failure);
  }

  /** Waits after a failed append and, unless it is proved to have had no effect, reads it back. */
  async #recover(batch: Batch, failure: unknown): Promise<void> {
    if (failure instanceof LogRateExceeded) {
      this.#counters.throttled += 1;
      await this.#sleep(this.#pacer.refused(failure.retryAfterMs));
      return;
    }
    await this.#sleep(this.#backoff.next());
    if (isProvedNotRun(failure)) return;
    while (withoutSettled(batch).writes.length > 0) {
      this.#counters.readBacks += 1;
      try {
        await this.#options.follower.readToEnd();
        return;
      } catch {
        await this.#sleep(this.#backoff.next());
      }
    }
  }

  async #sleep(ms: number): Promise<void> {
    await sleep(ms, undefined, { signal: this.#closing.signal }).catch(() => undefined);
  }
}

function isProvedNotRun(error: unknown): boolean {
  return error instanceof Failure && error.notRun;
}

/** A batch with other content is another record, under another identifier. */
function withoutSettled(batch: Batch): Batch {
  const writes = batch.writes.filter(({ isSettled }) => !isSettled);
  return writes.length === batch.writes.length ? batch : { id: randomUUID(), writes };
}
