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

/** One append and the writes that it contains. */
interface Batch {
  readonly id: string;
  readonly writes: readonly PendingWrite[];
}

/**
 * Writes entries to a stream with at most one append in flight; entries queued in the meantime form
 * the next batch.
 * A failed append is retried only after a read to the end of the log has not returned its entries.
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

  /** Number of writes waiting for an append. */
  get queued(): number {
    return this.#queue.size;
  }

  async write(body: unknown, options: WriteOptions = {}): Promise<Position> {
    if (this.#closing.signal.aborted) throw new WriteAbandoned(false, 'rejected after close');
    const id = options.id ?? randomUUID();
    const existing = this.#pending.get(id);
    if (existing) return existing.promise;
    const write = this.#create(id, body, options.timeoutMs);
    this.#enqueue(write);
    void this.#drain();
    return write.promise;
  }

  /** Rejects all pending writes with `WriteAbandoned`. */
  close(): Promise<void> {
    this.#closing.abort();
    this.#unsubscribe();
    for (const write of this.#pending.values()) this.#abandon(write, 'aborted by close');
    return Promise.resolve();
  }

  #create(id: string, body: unknown, timeoutMs: number | undefined): PendingWrite {
    const { maxQueued = MAX_QUEUED, maxQueuedBytes = MAX_QUEUED_BYTES } = this.#options;
    const write = new PendingWrite({ id, body });
    if (write.bytes > this.#maxBatchBytes()) throw new LogRecordTooLarge();
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

  #maxBatchBytes(): number {
    return (this.#options.recordLimitBytes ?? RECORD_LIMIT_BYTES) - RECORD_OVERHEAD_BYTES;
  }

  #abandon(write: PendingWrite, reason: string): void {
    this.#pending.delete(write.entry.id);
    this.#dequeue(write);
    write.reject(new WriteAbandoned(write.mayTakeEffect, reason));
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
      await this.#awaitPacer();
      await this.#commit(this.#nextBatch());
    }
    this.#isDraining = false;
  }

  /**
   * Waits for the interval that the pacer requires; writes queued in the meantime join the batch.
   */
  async #awaitPacer(): Promise<void> {
    const delay = this.#pacer.delayMs(performance.now() - this.#lastAppendAt);
    if (delay > 0) await this.#sleep(delay);
  }

  #nextBatch(): Batch {
    const maxBatch = Math.min(this.#options.maxBatch ?? POSITIONS_PER_RECORD, POSITIONS_PER_RECORD);
    let bytes = 0;
    let count = 0;
    for (const write of this.#queue) {
      bytes += write.bytes + 1;
      if (count === maxBatch || (count > 0 && bytes > this.#maxBatchBytes())) break;
      count += 1;
    }
    const writes = [...this.#queue].slice(0, count);
    for (const write of writes) this.#dequeue(write);
    return { id: randomUUID(), writes };
  }

  /**
   * Retries a batch until its append succeeds, or all its writes are read back from the log or
   * abandoned.
   */
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

  /** Sends one append; returns the error, or undefined on success. */
  async #append({ id, writes }: Batch): Promise<unknown> {
    this.#counters.appends += 1;
    this.#lastAppendAt = performance.now();
    const notYetSent = writes.filter(({ mayTakeEffect }) => !mayTakeEffect);
    for (const write of writes) write.mayTakeEffect = true;
    try {
      await this.#options.log.append({ id, body: { entries: writes.map(({ entry }) => entry) } });
      this.#backoff.reset();
      this.#pacer.accepted();
      return undefined;
    } catch (error) {
      if (hadNoEffect(error)) for (const write of notYetSent) write.mayTakeEffect = false;
      return error;
    }
  }

  async #split({ writes }: Batch, failure: LogRecordTooLarge): Promise<void> {
    const half = Math.ceil(writes.length / 2);
    if (half === writes.length) {
      for (const write of writes) this.#rejectWrite(write, failure);
      return;
    }
    await this.#commit({ id: randomUUID(), writes: writes.slice(0, half) });
    await this.#commit({ id: randomUUID(), writes: writes.slice(half) });
  }

  #rejectWrite(write: PendingWrite, failure: Failure): void {
    this.#pending.delete(write.entry.id);
    write.reject(failure);
  }

  /**
   * Backs off after a failed append and, unless it provably had no effect, reads to the end of the
   * log.
   */
  async #recover(batch: Batch, failure: unknown): Promise<void> {
    if (failure instanceof LogRateExceeded) {
      this.#counters.throttled += 1;
      await this.#sleep(this.#pacer.throttled(failure.retryAfterMs));
      return;
    }
    await this.#sleep(this.#backoff.next());
    if (hadNoEffect(failure)) return;
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

function hadNoEffect(error: unknown): boolean {
  return error instanceof Failure && error.notRun;
}

/**
 * Removes settled writes; a batch whose content changes is a different record and gets a new
 * identifier.
 */
function withoutSettled(batch: Batch): Batch {
  const writes = batch.writes.filter(({ isSettled }) => !isSettled);
  return writes.length === batch.writes.length ? batch : { id: randomUUID(), writes };
}
