import { setTimeout as sleep } from 'node:timers/promises';
import { Failure, InvalidInput } from '@ragwortrudder/core';
import type { Clock, Closeable } from '@ragwortrudder/core';
import { FollowerTimeout } from '../errors/follower-timeout.ts';
import { LogExpired } from '../errors/log-expired.ts';
import { LogUnavailable } from '../errors/log-unavailable.ts';
import { PrefixUnavailable } from '../errors/prefix-unavailable.ts';
import { SnapshotMissing } from '../errors/snapshot-missing.ts';
import type { FollowerChange } from '../types/follower-change.ts';
import type { Log } from '../types/log.ts';
import type { LogFollowerOptions } from '../types/log-follower-options.ts';
import { Prefix } from '../types/prefix.ts';
import type { PrefixRange } from '../types/prefix-range.ts';
import type { StreamReader } from '../types/stream-reader.ts';
import type { Snapshot } from '../types/snapshot.ts';
import type { SnapshotLocation } from '../types/snapshot-location.ts';
import { Backoff } from '../utils/backoff.ts';
import { FoldedStream } from '../utils/folded-stream.ts';
import { findNewestSnapshot } from './find-newest-snapshot.ts';

const POLL_WAIT_MS = 5_000;
const PAGE_RECORDS = 200;
const TAIL_RECORDS = 1_024;
const TAIL_BYTES = 2 * 1024 * 1024;
/**
 * Minimum duration for an empty read to count as a long poll; the follower pauses after a faster
 * one.
 */
const MIN_LONG_POLL_MS = 20;
const EMPTY_READ_DELAY_MS = 250;

/**
 * Follows one stream of the log and folds it into a state that only moves forward.
 * Exchanges records with peers, so that it can advance while the log is unreachable.
 */
export class LogFollower<S> implements StreamReader, Closeable {
  readonly #log: Log;
  readonly #stream: FoldedStream<S>;
  readonly #clock: Clock;
  readonly #pollWaitMs: number;
  readonly #pageRecords: number;
  readonly #backoff: Backoff;
  readonly #closing = new AbortController();
  #running: Promise<void> | undefined;
  #caughtUp = false;
  #lastContact: number | undefined;
  #upToDateAt: number | undefined;
  #failure: Failure | undefined;

  constructor(options: LogFollowerOptions<S>) {
    this.#log = options.log;
    this.#clock = options.clock;
    this.#pollWaitMs = options.pollWaitMs ?? POLL_WAIT_MS;
    this.#pageRecords = options.pageRecords ?? PAGE_RECORDS;
    this.#backoff = new Backoff(options.random, options.backoff);
    const { tailRecords = TAIL_RECORDS, tailBytes = TAIL_BYTES } = options;
    const tail = { records: tailRecords, bytes: tailBytes };
    const { fold, onRejected } = options;
    this.#stream = new FoldedStream({ fold, tail, ...(onRejected ? { onRejected } : {}) });
  }

  get state(): S {
    return this.#stream.state;
  }

  /** Offset of the next record to fold. */
  get next(): number {
    return this.#stream.next;
  }

  /** Chained hash of all records before {@link next}. */
  get hash(): string {
    return this.#stream.hash;
  }

  /**
   * True once the state has reached the end of the log, or of a peer's prefix, for the first time.
   */
  get caughtUp(): boolean {
    return this.#caughtUp;
  }

  /**
   * Time in milliseconds since the state was last confirmed to be at the end of the log; `Infinity`
   * before that.
   */
  get lagMs(): number {
    if (this.#upToDateAt === undefined) return Infinity;
    return Math.max(0, this.#clock.monotonic() - this.#upToDateAt);
  }

  /**
   * Wall-clock time of the last successful read of the log in milliseconds since the Unix epoch.
   */
  get lastContact(): number | undefined {
    return this.#lastContact;
  }

  /** Failure of the last read; undefined while reads succeed. */
  get failure(): Failure | undefined {
    return this.#failure;
  }

  /** Newest complete snapshot found in the stream. */
  get newestSnapshot(): SnapshotLocation | undefined {
    return this.#stream.newestSnapshot;
  }

  /** Starts following the stream; does nothing if already started. */
  start(): void {
    this.#running ??= this.#run();
  }

  async close(): Promise<void> {
    this.#closing.abort();
    await this.#running;
    this.#stream.unsubscribeAll();
  }

  subscribe(listener: (change: FollowerChange<S>) => void): () => void {
    return this.#stream.subscribe(listener);
  }

  /**
   * Resolves once the record at `offset` is folded; rejects with `FollowerTimeout` on timeout or
   * close.
   */
  waitForOffset(offset: number, timeoutMs: number): Promise<void> {
    if (this.next > offset) return Promise.resolve();
    return new Promise((resolve, reject) => {
      const settle = (failure?: Failure): void => {
        clearTimeout(timer);
        unsubscribe();
        this.#closing.signal.removeEventListener('abort', onClose);
        if (failure) reject(failure);
        else resolve();
      };
      const onClose = (): void => {
        settle(new FollowerTimeout('the follower was closed'));
      };
      const unsubscribe = this.subscribe(({ next }) => {
        if (next > offset) settle();
      });
      const timer = setTimeout(() => {
        settle(
          new FollowerTimeout(`the follower did not reach offset ${offset} within ${timeoutMs} ms`),
        );
      }, timeoutMs);
      this.#closing.signal.addEventListener('abort', onClose);
      if (this.#closing.signal.aborted) onClose();
    });
  }

  async readToEnd(): Promise<void> {
    while (!(await this.#readPage(0))) this.#closing.signal.throwIfAborted();
  }

  /** Returns the serialized state at the current offset. */
  snapshot(): Snapshot {
    return this.#stream.snapshot();
  }

  /**
   * Returns records for a peer, or the serialized state when the requested records are no longer
   * retained.
   */
  exportPrefix(range: PrefixRange): Prefix {
    if (!this.#caughtUp)
      throw new PrefixUnavailable('this node has not caught up with the log yet');
    return { ...this.#stream.exportPrefix(range), next: this.next, lagMs: this.lagMs };
  }

  /**
   * Applies the part of a peer's prefix that is ahead of the state; returns the number of offsets
   * gained.
   * Throws `PrefixGap`, `PrefixFork`, `PrefixOlder`, `SnapshotInvalid` or `InvalidInput` without
   * applying anything when the prefix does not continue the state exactly.
   */
  applyPrefix(input: unknown): number {
    const prefix = parsePrefix(input);
    const before = this.next;
    this.#stream.applyPrefix(prefix);
    if (this.next >= prefix.next) this.#markUpToDate(this.#clock.monotonic() - prefix.lagMs);
    return this.next - before;
  }

  async #run(): Promise<void> {
    const { signal } = this.#closing;
    while (!signal.aborted) {
      try {
        await this.#poll();
        this.#backoff.reset();
        this.#failure = undefined;
      } catch (error) {
        this.#failure = error instanceof Failure ? error : toLogUnavailable(error);
        await this.#delay(this.#backoff.next());
      }
    }
  }

  async #poll(): Promise<void> {
    const waitMs = this.#caughtUp ? this.#pollWaitMs : 0;
    const startedAt = performance.now();
    const before = this.next;
    await this.#readPage(waitMs);
    const wasLongPoll = performance.now() - startedAt >= Math.min(waitMs, MIN_LONG_POLL_MS);
    if (this.next === before && !wasLongPoll) await this.#delay(EMPTY_READ_DELAY_MS);
  }

  async #delay(ms: number): Promise<void> {
    const { signal } = this.#closing;
    await sleep(ms, undefined, { signal }).catch(() => undefined);
  }

  /** Reads and folds one page; returns true at the end of the log. */
  async #readPage(waitMs: number): Promise<boolean> {
    const { signal } = this.#closing;
    const startedAt = this.#clock.monotonic();
    const range = { from: this.next, limit: this.#pageRecords, waitMs, signal };
    try {
      const page = await this.#log.read(range);
      if (signal.aborted) return true;
      this.#lastContact = this.#clock.wall();
      this.#stream.fold(page.records);
      const atEnd = page.records.length < range.limit && this.next >= page.next;
      if (atEnd) this.#markUpToDate(page.records.length > 0 ? this.#clock.monotonic() : startedAt);
      else if (page.records.length === 0)
        throw new LogUnavailable(
          'the log returned no records before the end offset that it reported',
        );
      return atEnd;
    } catch (error) {
      if (!(error instanceof LogExpired)) throw error;
      await this.#restore(error.first);
      return false;
    }
  }

  async #restore(first: number): Promise<void> {
    const found = await findNewestSnapshot(this.#log, {
      from: first,
      pageRecords: this.#pageRecords,
      signal: this.#closing.signal,
    });
    if (!found) throw new SnapshotMissing(first);
    this.#stream.restore(found.snapshot, found.location);
  }

  #markUpToDate(at: number): void {
    this.#caughtUp = true;
    this.#upToDateAt = Math.max(at, this.#upToDateAt ?? -Infinity);
  }
}

function parsePrefix(input: unknown): Prefix {
  const parsed = Prefix.safeParse(input);
  if (parsed.success) return parsed.data;
  const problems = parsed.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`);
  throw new InvalidInput('the prefix of a stream is not valid', problems);
}

function toLogUnavailable(error: unknown): LogUnavailable {
  return new LogUnavailable('reading the log failed unexpectedly', { cause: error });
}
