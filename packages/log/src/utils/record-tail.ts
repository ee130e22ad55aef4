import type { HashedRecord } from '../types/hashed-record.ts';

/** Newest records of a stream with their hashes, up to a limit. */
export class RecordTail {
  readonly #limit: number;
  #records: HashedRecord[] = [];
  #base: { readonly next: number; readonly hash: string };

  constructor(limit: number, base: { readonly next: number; readonly hash: string }) {
    this.#limit = limit;
    this.#base = base;
  }

  /** Offset of the oldest record kept and the hash before it. */
  get base(): { readonly next: number; readonly hash: string } {
    return this.#base;
  }

  push(item: HashedRecord): void {
    this.#records.push(item);
    if (this.#records.length < this.#limit * 2) return;
    this.#drop(this.#records.length - this.#limit);
  }

  /** Forgets everything and continues from `base`. */
  reset(base: { readonly next: number; readonly hash: string }): void {
    this.#records = [];
    this.#base = base;
  }

  /** Hash of the stream before `offset`; undefined when it is not kept. */
  hashBefore(offset: number): string | undefined {
    if (offset === this.#base.next) return this.#base.hash;
    return this.#records[offset - this.#base.next - 1]?.hash;
  }

  /** Records from `offset` on. */
  slice(offset: number, limit: number): readonly HashedRecord[] {
    const start = offset - this.#base.next;
    return this.#records.slice(start, start + limit);
  }

  #drop(count: number): void {
    const last = this.#records[count - 1];
    if (!last) return;
    this.#base = { next: last.record.offset + 1, hash: last.hash };
    this.#records = this.#records.slice(count);
  }
}
