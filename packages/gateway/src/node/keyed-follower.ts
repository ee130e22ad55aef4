import type { Clock, Closeable, Random } from '@ragwortrudder/core';
import { LogExpired } from '@ragwortrudder/log';
import type { KeyedLog, KeyedPosition, KeyedRecord } from '@ragwortrudder/log';
import { setTimeout as sleep } from 'node:timers/promises';

interface KeyedFollowerOptions {
  readonly log: KeyedLog;
  readonly topic: string;
  readonly clock: Clock;
  readonly random: Random;
  /** Long-poll time: how long a read waits for a new record, in milliseconds. */
  readonly waitMs: number;
  /** Pause between two reads, in milliseconds. */
  readonly pauseMs: number;
  /** This node reads on behalf of others and does not rely on feeds. */
  readonly isReader: () => boolean;
  /**
   * Receives a snapshot of the topic: the newest record of each key. `restore` is given when the log
   * was restored from an older copy since the snapshot before.
   */
  readonly onSnapshot: (records: readonly KeyedRecord[], restore: LogRestore | undefined) => void;
  /** Receives new records in order. */
  readonly onRecords: (records: readonly KeyedRecord[]) => void;
  /** Called after each read of a range, before its records are applied. */
  readonly onRange: (range: OffsetRange, records: readonly KeyedRecord[]) => void;
  /** Called whenever this node is known to be up to date, by its own read or a feed. */
  readonly onAvailable?: () => void;
  /** Called when a read, by this node or a peer, has shown that no record is missing here. */
  readonly onEnd?: () => void;
  /** Called when reads start to fail. */
  readonly onUnavailable: (error: unknown) => void;
  /** Called when the topic is available again, with the length of the outage in milliseconds. */
  readonly onRecovered: (outageMs: number) => void;
}

/** Eras of the log around its restore from an older copy. */
interface LogRestore {
  readonly era: number;
  readonly before: number;
}

/** Range of offsets from `from` (inclusive) to `next` (exclusive), which are valid in `era`. */
interface OffsetRange {
  readonly from: number;
  readonly next: number;
  readonly era: number;
}

/** Time beyond a peer's long-poll time and pause within which its next feed is expected, in milliseconds. */
const FEED_SLACK_MS = 500;
/**
 * Maximum random delay by which a reader lets another one read first, in milliseconds; drawn before
 * each read.
 */
const READER_STAGGER_MS = 250;
/** Time after a failed read during which even a reader relies on feeds, in milliseconds. */
const READ_FAILURE_FALLBACK_MS = 3_000;
/**
 * Pause after a failed read, in milliseconds; randomized up to twice this value, so that the
 * retries of nodes spread out.
 */
const FAILURE_PAUSE_MS = 250;
/** Shortest time of a read that has waited for a record, in milliseconds. */
const MIN_LONG_POLL_MS = 20;
/**
 * Consecutive reads without a new record or a wait, such as a read of expired history and the snapshot
 * after it, that follow each other without a pause.
 */
const MAX_IDLE_READS = 3;
/** Time left to other work after records were applied, in multiples of the time that this took. */
const APPLY_REST = 3;
/** Longest rest, in milliseconds: a change must be in force within two seconds. */
const MAX_REST_MS = 500;

/** Follows a keyed topic: a snapshot first, then each new record. */
export class KeyedFollower implements Closeable {
  readonly #options: KeyedFollowerOptions;
  readonly #closing = new AbortController();
  /** Offset of the next read. */
  #position: KeyedPosition | undefined;
  /** Era of the newest snapshot. */
  #era: number | undefined;
  /** Newest era that a feed named. */
  #peerEra = 0;
  #unavailableSince: number | undefined;
  #lastFeedAt = -Infinity;
  #lastFailureAt = -Infinity;
  /** Consecutive reads that brought no new record and did not wait for one. */
  #idleReads = 0;
  /** Time that applying the records of the last read took, in milliseconds. */
  #applyMs = 0;
  #wakeUp = new AbortController();
  #running: Promise<void> | undefined;

  constructor(options: KeyedFollowerOptions) {
    this.#options = options;
  }

  get topic(): string {
    return this.#options.topic;
  }

  start(): void {
    this.#running ??= this.#loop();
  }

  /**
   * Applies the result of a read by a peer, provided that it is complete, of the same era, and leaves
   * no gap after the records applied so far. Otherwise this node reads the missing records itself
   * right away. Feeds also keep this node up to date while the log rejects its reads but serves those
   * of the peer.
   */
  applyFeed(
    { from, next, era }: OffsetRange,
    records: readonly KeyedRecord[],
    isWhole: boolean,
  ): void {
    const position = this.#position;
    if (!position || era < position.era) return;
    if (era > position.era) {
      this.#peerEra = era;
      this.#readNow();
      return;
    }
    if (next < position.offset) return;
    this.#lastFeedAt = this.#options.clock.monotonic();
    if (next === position.offset) {
      this.#markAvailable();
      if (from === next) this.#options.onEnd?.();
      return;
    }
    if (!isWhole || from > position.offset) {
      this.#readNow();
      return;
    }
    this.#position = { offset: next, era };
    this.#markAvailable();
    const newRecords = records.filter(({ offset }) => offset >= position.offset);
    if (newRecords.length > 0) this.#options.onRecords(newRecords);
  }

  async close(): Promise<void> {
    this.#closing.abort();
    await Promise.race([this.#running, sleep(0)]);
  }

  async #loop(): Promise<void> {
    const { signal } = this.#closing;
    while (!signal.aborted) {
      const feedWaitMs = this.#feedWaitMs();
      const pauseMs = feedWaitMs > 0 ? feedWaitMs : await this.#readOnce();
      if (pauseMs > 0) await this.#sleep(pauseMs);
    }
  }

  /** Time to wait for a peer's next feed before reading, in milliseconds. */
  #feedWaitMs(): number {
    const { clock, random, waitMs, pauseMs, isReader } = this.#options;
    const now = clock.monotonic();
    const isReading = isReader() && now - this.#lastFailureAt > READ_FAILURE_FALLBACK_MS;
    const slackMs = isReading ? random.next() * READER_STAGGER_MS : FEED_SLACK_MS;
    return this.#lastFeedAt + waitMs + pauseMs + slackMs - now;
  }

  async #sleep(ms: number): Promise<void> {
    this.#wakeUp = new AbortController();
    const signal = AbortSignal.any([this.#closing.signal, this.#wakeUp.signal]);
    await sleep(ms, undefined, { signal }).catch(() => undefined);
  }

  /** Reads once and returns the pause before the next read, in milliseconds. */
  async #readOnce(): Promise<number> {
    const { pauseMs, random, clock } = this.#options;
    const retryPauseMs = FAILURE_PAUSE_MS * (1 + random.next());
    const startedAt = clock.monotonic();
    this.#applyMs = 0;
    try {
      const hasNewRecords = await this.#read();
      this.#markAvailable();
      const hasWaited = clock.monotonic() - startedAt >= MIN_LONG_POLL_MS;
      this.#idleReads = hasNewRecords || hasWaited ? 0 : this.#idleReads + 1;
    } catch (error) {
      if (!(error instanceof LogExpired)) {
        this.#markUnavailable(error);
        return retryPauseMs;
      }
      this.#position = undefined;
      this.#idleReads += 1;
    }
    const restMs = Math.min(MAX_REST_MS, APPLY_REST * this.#applyMs);
    const nextPauseMs = Math.max(this.#position ? pauseMs : 0, restMs);
    return this.#idleReads > MAX_IDLE_READS ? Math.max(nextPauseMs, retryPauseMs) : nextPauseMs;
  }

  /** Reads a page, or a snapshot; returns true for a page with new records. */
  async #read(): Promise<boolean> {
    const { log, topic, clock, waitMs, onRecords } = this.#options;
    const position = this.#position;
    if (!position || Math.max(log.era, this.#peerEra) > position.era) {
      await this.#readSnapshot();
      return false;
    }
    const from = position.offset;
    const page = await log.read({ topic, from, waitMs });
    this.#markAvailable();
    if (page.era !== position.era) {
      this.#position = undefined;
      return false;
    }
    // Feeds may have been applied in the meantime.
    const appliedUpTo = this.#position?.offset ?? from;
    if (this.#closing.signal.aborted || page.next < appliedUpTo) return false;
    const applyingSince = clock.monotonic();
    const newRecords = page.records.filter(({ offset }) => offset >= appliedUpTo);
    // What a feed has brought meanwhile is no change here any more, but may be one for others.
    this.#options.onRange({ from: appliedUpTo, next: page.next, era: page.era }, newRecords);
    if (newRecords.length > 0) onRecords(newRecords);
    this.#position = { offset: page.next, era: page.era };
    if (page.next === from) this.#options.onEnd?.();
    this.#applyMs = clock.monotonic() - applyingSince;
    return newRecords.length > 0;
  }

  async #readSnapshot(): Promise<void> {
    const page = await this.#options.log.newest(this.#options.topic);
    this.#markAvailable();
    const { era } = page;
    const before = this.#era;
    this.#era = era;
    this.#peerEra = era;
    const restore = before === undefined || before === era ? undefined : { era, before };
    if (!this.#closing.signal.aborted) this.#options.onSnapshot(page.records, restore);
    this.#position = { offset: page.next, era };
  }

  #readNow(): void {
    this.#lastFeedAt = -Infinity;
    this.#wakeUp.abort();
  }

  #markAvailable(): void {
    this.#options.onAvailable?.();
    if (this.#unavailableSince === undefined) return;
    const outageMs = this.#options.clock.monotonic() - this.#unavailableSince;
    this.#unavailableSince = undefined;
    this.#options.onRecovered(outageMs);
  }

  #markUnavailable(error: unknown): void {
    this.#lastFailureAt = this.#options.clock.monotonic();
    if (this.#unavailableSince !== undefined || this.#closing.signal.aborted) return;
    this.#unavailableSince = this.#options.clock.monotonic();
    this.#options.onUnavailable(error);
  }
}
