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
  /** Receives the newest record of each key: the whole topic. */
  readonly onWhole: (records: readonly KeyedRecord[]) => void;
  /** Receives records in order. */
  readonly onRecords: (records: readonly KeyedRecord[]) => void;
  /** Called when reads begin to fail. */
  readonly onAway: (error: unknown) => void;
  /** Called when a read succeeds after failures, with how long they lasted, in milliseconds. */
  readonly onBack: (awayMs: number) => void;
}

/** Pause after a failed read, in milliseconds; up to twice as long by chance, so that nodes spread. */
const FAILURE_PAUSE_MS = 250;

/** Follows a keyed topic: its newest records first, then each record as it comes. */
export class KeyedFollower implements Closeable {
  readonly #options: KeyedFollowerOptions;
  readonly #closing = new AbortController();
  #from: number | undefined;
  #awaySince: number | undefined;
  #running: Promise<void> | undefined;

  constructor(options: KeyedFollowerOptions) {
    this.#options = options;
  }

  start(): void {
    this.#running ??= this.#loop();
  }

  async close(): Promise<void> {
    this.#closing.abort();
    await Promise.race([this.#running, sleep(0)]);
  }

  async #loop(): Promise<void> {
    const { signal } = this.#closing;
    while (!signal.aborted) {
      const pauseMs = await this.#step();
      if (pauseMs > 0) await sleep(pauseMs, undefined, { signal }).catch(() => undefined);
    }
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
    const page = await log.read({ topic, from: this.#from, waitMs });
    this.#markRead();
    if (!this.#closing.signal.aborted && page.records.length > 0) onRecords(page.records);
    this.#from = page.next;
  }

  #markRead(): void {
    if (this.#awaySince === undefined) return;
    const awayMs = this.#options.clock.monotonic() - this.#awaySince;
    this.#awaySince = undefined;
    this.#options.onBack(awayMs);
  }

  #markAway(error: unknown): void {
    if (this.#awaySince !== undefined || this.#closing.signal.aborted) return;
    this.#awaySince = this.#options.clock.monotonic();
    this.#options.onAway(error);
  }
}
