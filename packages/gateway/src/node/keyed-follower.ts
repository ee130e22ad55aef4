import type { Clock, Closeable, Random } from '@ragwortrudder/core';
import { LogExpired } from '@ragwortrudder/log';
import type { KeyedLog, KeyedRecord } from '@ragwortrudder/log';
import { setTimeout as sleep } from 'node:timers/promises';

interface KeyedFollowerOptions {
  readonly log: KeyedLog;
  readonly topic: string;
  readonly clock: Clock;
  readonly random: Random;
  /** How long one read waits for a record, in milliseconds. */
  readonly waitMs: number;
  /** Pause between two reads, in milliseconds. */
  readonly pauseMs: number;
  /** This node reads for others, and does not rely on being told. */
  readonly isReader: () => boolean;
  /** Receives the newest record of each key: the whole topic. */
  readonly onWhole: (records: readonly KeyedRecord[]) => void;
  /** Receives records in order. */
  readonly onRecords: (records: readonly KeyedRecord[]) => void;
  /** Called after each read of a range, before its records are taken in. */
  readonly onRange: (range: Range, records: readonly KeyedRecord[]) => void;
  /** Called when reads begin to fail. */
  readonly onAway: (error: unknown) => void;
  /** Called when a read succeeds after failures, with how long they lasted, in milliseconds. */
  readonly onBack: (awayMs: number) => void;
}

/** Offsets from the first up to, and without, the next. */
interface Range {
  readonly from: number;
  readonly next: number;
}

/** Time beyond a peer's own wait and pause within which it tells again what it read, in milliseconds. */
const FED_SLACK_MS = 500;
/** Longest time by which one of two readers lets the other go first, in milliseconds; drawn anew each time. */
const READER_SLACK_MS = 250;
/** Time after a failed read of its own during which also a reader relies on being told, in milliseconds. */
const OWN_FAILURE_MS = 3_000;
/** Pause after a failed read, in milliseconds; up to twice as long by chance, so that nodes spread. */
const FAILURE_PAUSE_MS = 250;

/** Follows a keyed topic: its newest records first, then each record as it comes. */
export class KeyedFollower implements Closeable {
  readonly #options: KeyedFollowerOptions;
  readonly #closing = new AbortController();
  #from: number | undefined;
  #awaySince: number | undefined;
  #fedAt = -Infinity;
  #failedAt = -Infinity;
  #waking = new AbortController();
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
   * Takes in what a peer read. The records are applied when nothing is missing before them and they
   * are whole; otherwise this node reads at once what it lacks. That holds as well while the log turns
   * this node away and serves the peer.
   */
  offer({ from, next }: Range, records: readonly KeyedRecord[], isWhole: boolean): void {
    if (this.#from === undefined || next < this.#from) return;
    this.#fedAt = this.#options.clock.monotonic();
    if (next === this.#from) {
      this.#markRead();
      return;
    }
    if (!isWhole || from > this.#from) {
      this.#fedAt = -Infinity;
      this.#waking.abort();
      return;
    }
    const since = this.#from;
    this.#from = next;
    this.#markRead();
    const missed = records.filter(({ offset }) => offset >= since);
    if (missed.length > 0) this.#options.onRecords(missed);
  }

  async close(): Promise<void> {
    this.#closing.abort();
    await Promise.race([this.#running, sleep(0)]);
  }

  async #loop(): Promise<void> {
    const { signal } = this.#closing;
    while (!signal.aborted) {
      const fedMs = this.#fedForMs();
      const pauseMs = fedMs > 0 ? fedMs : await this.#step();
      if (pauseMs > 0) await this.#sleep(pauseMs);
    }
  }

  /** Time for which a peer is still expected to tell what it read, in milliseconds. */
  #fedForMs(): number {
    const { clock, random, waitMs, pauseMs, isReader } = this.#options;
    const now = clock.monotonic();
    const isReading = isReader() && now - this.#failedAt > OWN_FAILURE_MS;
    if (isReading && waitMs > 0) return 0;
    const slackMs = isReading ? random.next() * READER_SLACK_MS : FED_SLACK_MS;
    return this.#fedAt + waitMs + pauseMs + slackMs - now;
  }

  async #sleep(ms: number): Promise<void> {
    this.#waking = new AbortController();
    const signal = AbortSignal.any([this.#closing.signal, this.#waking.signal]);
    await sleep(ms, undefined, { signal }).catch(() => undefined);
  }

  /** Reads once and returns the pause before the next read. */
  async #step(): Promise<number> {
    const { pauseMs, random } = this.#options;
    try {
      await this.#read();
      this.#markRead();
      return pauseMs;
    } catch (error) {
      if (error instanceof LogExpired) {
        this.#from = undefined;
        return 0;
      }
      this.#markAway(error);
      return FAILURE_PAUSE_MS * (1 + random.next());
    }
  }

  async #read(): Promise<void> {
    const { log, topic, waitMs, onWhole, onRecords } = this.#options;
    if (this.#from === undefined) {
      const page = await log.newest(topic);
      this.#markRead();
      if (!this.#closing.signal.aborted) onWhole(page.records);
      this.#from = page.next;
      return;
    }
    const from = this.#from;
    const page = await log.read({ topic, from, waitMs });
    this.#markRead();
    if (this.#closing.signal.aborted || page.next < this.#from) return;
    this.#options.onRange({ from, next: page.next }, page.records);
    const missed = page.records.filter(({ offset }) => offset >= (this.#from ?? 0));
    if (missed.length > 0) onRecords(missed);
    this.#from = page.next;
  }

  #markRead(): void {
    if (this.#awaySince === undefined) return;
    const awayMs = this.#options.clock.monotonic() - this.#awaySince;
    this.#awaySince = undefined;
    this.#options.onBack(awayMs);
  }

  #markAway(error: unknown): void {
    this.#failedAt = this.#options.clock.monotonic();
    if (this.#awaySince !== undefined || this.#closing.signal.aborted) return;
    this.#awaySince = this.#options.clock.monotonic();
    this.#options.onAway(error);
  }
}
