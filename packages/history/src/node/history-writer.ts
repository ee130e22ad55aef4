import { closeSync, openSync, writeSync } from 'node:fs';
import type { Closeable } from '@ragwortrudder/core';
import type { HistoryRecord } from '../types/history-record.ts';
import type { HistoryWriterOptions } from '../types/history-writer-options.ts';

/**
 * Appends the events of one process to a file. Writes are synchronous, so that an event is in the file
 * when `record` returns, even if the process is killed afterwards.
 */
export class HistoryWriter implements Closeable {
  readonly #options: HistoryWriterOptions;
  #file: number | undefined;
  #seq = 0;

  constructor(options: HistoryWriterOptions) {
    this.#options = options;
    this.#file = openSync(options.path, 'a');
  }

  /** Records one event. Does nothing after {@link close}. */
  record(event: HistoryRecord): void {
    if (this.#file === undefined) return;
    const { process, clock } = this.#options;
    const line = JSON.stringify({ ...event, process, seq: this.#seq, at: clock.wall() });
    this.#seq += 1;
    writeSync(this.#file, `${line}\n`);
  }

  close(): Promise<void> {
    if (this.#file !== undefined) closeSync(this.#file);
    this.#file = undefined;
    return Promise.resolve();
  }
}
