import type { Clock } from '@ragwortrudder/core';
import type { LogRecord } from '../types/log-record.ts';
import type { Retention } from '../types/retention.ts';

/** Append-only stream of records with offsets. Expired records are hidden from readers but kept for `all`. */
export class LogStream {
  readonly #clock: Clock;
  readonly #records: LogRecord[] = [];
  #first = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Offset of the oldest record that has not expired. */
  get first(): number {
    return this.#first;
  }

  /** Offset of the next record. */
  get next(): number {
    return this.#records.length;
  }

  /** Every record ever appended, including expired ones. */
  get all(): readonly LogRecord[] {
    return this.#records;
  }

  append(id: string, body: unknown): number {
    const offset = this.next;
    this.#records.push({ offset, id, time: this.#clock.wall(), body });
    return offset;
  }

  read(from: number, limit: number): readonly LogRecord[] {
    return this.#records.slice(from, from + limit);
  }

  /** Expires the records that exceed the limits of `retention`. */
  expire(retention: Retention): void {
    const { ageMs, count } = retention;
    if (count !== undefined) this.#first = Math.max(this.#first, this.next - count);
    if (ageMs === undefined) return;
    const oldest = this.#clock.wall() - ageMs;
    while (this.#first < this.next && (this.#records[this.#first]?.time ?? 0) < oldest) {
      this.#first += 1;
    }
  }
}
