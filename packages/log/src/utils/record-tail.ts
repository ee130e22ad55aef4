import type { TailLimits } from '../types/tail-limits.ts';
import type { HashedRecord } from '../types/hashed-record.ts';

/** Bounded buffer of the newest records of a stream and their hashes. */
export class RecordTail {
  readonly #limits: TailLimits;
  #sizes: number[] = [];
  #bytes = 0;
  #records: HashedRecord[] = [];
  #base: { readonly next: number; readonly hash: string };

  constructor(limits: TailLimits, base: { readonly next: number; readonly hash: string }) {
    this.#limits = limits;
    this.#base = base;
  }

  /** Offset of the oldest retained record and the stream hash before it. */
  get base(): { readonly next: number; readonly hash: string } {
    return this.#base;
  }

  push(item: HashedRecord): void {
    const bytes = JSON.stringify(item.record.body ?? null).length;
    this.#records.push(item);
    this.#sizes.push(bytes);
    this.#bytes += bytes;
    const { length } = this.#records;
    if (length < this.#limits.records * 2 && this.#bytes < this.#limits.bytes * 2) return;
    this.#drop(this.#excess());
  }

  /** Clears the buffer and continues from `base`. */
  reset(base: { readonly next: number; readonly hash: string }): void {
    this.#records = [];
    this.#sizes = [];
    this.#bytes = 0;
    this.#base = base;
  }

  /** Returns the hash of the stream before `offset`; undefined when it is no longer retained. */
  hashBefore(offset: number): string | undefined {
    if (offset === this.#base.next) return this.#base.hash;
    return this.#records[offset - this.#base.next - 1]?.hash;
  }

  /** Returns up to `limit` records from `offset` on. */
  slice(offset: number, limit: number): readonly HashedRecord[] {
    const start = offset - this.#base.next;
    return this.#records.slice(start, start + limit);
  }

  /** Returns the number of oldest records to drop to get within the limits. */
  #excess(): number {
    let count = Math.max(0, this.#records.length - this.#limits.records);
    let kept = this.#sizes.slice(count).reduce((sum, size) => sum + size, 0);
    while (kept > this.#limits.bytes) {
      kept -= this.#sizes[count] ?? 0;
      count += 1;
    }
    return count;
  }

  #drop(count: number): void {
    const last = this.#records[count - 1];
    if (!last) return;
    this.#base = { next: last.record.offset + 1, hash: last.hash };
    this.#records = this.#records.slice(count);
    this.#sizes = this.#sizes.slice(count);
    this.#bytes = this.#sizes.reduce((sum, size) => sum + size, 0);
  }
}
