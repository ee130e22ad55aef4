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
import type { ReadBack } from '../types/read-back.ts';
import type { Snapshot } from '../types/snapshot.ts';
import type { SnapshotMark } from '../types/snapshot-mark.ts';
import { Backoff } from '../utils/backoff.ts';
import { FoldedStream } from '../utils/folded-stream.ts';
import { newestSnapshot } from './newest-snapshot.ts';

const POLL_WAIT_MS = 5_000;
const PAGE_RECORDS = 200;
const TAIL_RECORDS = 1_024;
const TAIL_BYTES = 2 * 1024 * 1024;
/** Shortest wait that counts as held by the log; a quicker empty answer is followed by a pause. */
const MIN_POLL_MS = 20;
const EMPTY_ANSWER_PAUSE_MS = 250;

/**
 * Follows one stream of the log and folds it to a state that never goes back.
 * Exchanges records with peers when the log cannot be reached.
 */
export class LogFollower<S> implements ReadBack, Closeable {
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
  #currentAt: number | undefined;
  #failure: Failure | undefined;

  constructor(options: LogFollowerOptions<S>) {
    this.#log = options.log;
    this.#clock = options.clock;
    this.#pollWaitMs = options.pollWaitMs ?? POLL_WAIT_MS;
    this.#pageRecords = options.pageRecords ?? PAGE_RECORDS;
    this.#backoff = new Backoff(options.random, options.backoff);
    const { tailRecords = TAIL_RECORDS, tailBytes = TAIL_BYTES } = options;
    const tail = { records: tailRecords, bytes: tailBytes };
    this.#stream = new FoldedStream({ fold: options.fold, tail });
  }

  get state(): S {
    return this.#stream.state;
  }

  /** Offset of the next record to be folded. */
  get next(): number {
    return this.#stream.next;
  }

  /** Chained hash of all records before {@link next}. */
  get hash(): string {
    return this.#stream.hash;
  }

  /** True once the state has reached the end of the log, or of a peer's prefix, since the start. */
  get caughtUp(): boolean {
    return this.#caughtUp;
  }

  /** Time in milliseconds since the state was known to be at the end of the log; `Infinity` before that. */
  get lagMs(): number {
    if (this.#currentAt === undefined) return Infinity;
    return Math.max(0, this.#clock.monotonic() - this.#currentAt);
  }

  /** Wall-clock time in milliseconds of the last successful read of the log. */
  get lastContact(): number | undefined {
    return this.#lastContact;
  }

  /** Why the last read failed; undefined while reads succeed. */
  get failure(): Failure | undefined {
    return this.#failure;
  }

  /** Newest complete snapshot seen in the stream. */
  get newestSnapshot(): SnapshotMark | undefined {
    return this.#stream.newestSnapshot;
  }

  /** Starts to follow the stream; does nothing when already started. */
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

  /** Resolves once the record at `offset` is folded; rejects with `FollowerTimeout`. */
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
        settle(new FollowerTimeout(`offset ${offset} was not reached in ${timeoutMs} ms`));
      }, timeoutMs);
      this.#closing.signal.addEventListener('abort', onClose);
      if (this.#closing.signal.aborted) onClose();
    });
  }

  async readToEnd(): Promise<void> {
    while (!(await this.#readPage(0))) this.#closing.signal.throwIfAborted();
  }

  /** Serialized state at the current offset. */
  snapshot(): Snapshot {
    return this.#stream.snapshot();
  }

  /** Records for a peer, or the state when those asked for are no longer kept. */
  exportPrefix(range: PrefixRange): Prefix {
    if (!this.#caughtUp) throw new PrefixUnavailable('this node has not caught up');
    return { ...this.#stream.export(range), next: this.next, lagMs: this.lagMs };
  }

  /**
   * Takes what a peer's prefix adds to the state; returns the number of offsets gained.
   * Throws `PrefixGap`, `PrefixFork`, `PrefixOlder`, `SnapshotInvalid` or `InvalidInput` and takes nothing
   * when it does not continue the state exactly.
   */
  offer(input: unknown): number {
    const prefix = parsePrefix(input);
    const before = this.next;
    this.#stream.take(prefix);
    if (this.next >= prefix.next) this.#markCurrent(this.#clock.monotonic() - prefix.lagMs);
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
        this.#failure = error instanceof Failure ? error : unexpected(error);
        await this.#pause(this.#backoff.next());
      }
    }
  }

  async #poll(): Promise<void> {
    const waitMs = this.#caughtUp ? this.#pollWaitMs : 0;
    const startedAt = performance.now();
    const before = this.next;
    await this.#readPage(waitMs);
    const isHeld = performance.now() - startedAt >= Math.min(waitMs, MIN_POLL_MS);
    if (this.next === before && !isHeld) await this.#pause(EMPTY_ANSWER_PAUSE_MS);
  }

  async #pause(ms: number): Promise<void> {
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
      if (atEnd) this.#markCurrent(page.records.length > 0 ? this.#clock.monotonic() : startedAt);
      else if (page.records.length === 0) throw new LogUnavailable('announced records are missing');
      return atEnd;
    } catch (error) {
      if (!(error instanceof LogExpired)) throw error;
      await this.#restore(error.first);
      return false;
    }
  }

  async #restore(first: number): Promise<void> {
    const found = await newestSnapshot(this.#log, {
      from: first,
      pageRecords: this.#pageRecords,
      signal: this.#closing.signal,
    });
    if (!found) throw new SnapshotMissing(first);
    this.#stream.restore(found.snapshot, found.mark);
  }

  #markCurrent(at: number): void {
    this.#caughtUp = true;
    this.#currentAt = Math.max(at, this.#currentAt ?? -Infinity);
  }
}

function parsePrefix(input: unknown): Prefix {
  const parsed = Prefix.safeParse(input);
  if (parsed.success) return parsed.data;
  const problems = parsed.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`);
  throw new InvalidInput('not a prefix of a stream', problems);
}

function unexpected(error: unknown): LogUnavailable {
  return new LogUnavailable('reading the log failed', { cause: error });
}
