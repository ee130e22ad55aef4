import { digest } from '@ragwortrudder/core';
import { LogGap } from '../errors/log-gap.ts';
import { PrefixUnavailable } from '../errors/prefix-unavailable.ts';
import { SnapshotInvalid } from '../errors/snapshot-invalid.ts';
import type { Entry } from '../types/entry.ts';
import type { Fold } from '../types/fold.ts';
import type { FollowerChange } from '../types/follower-change.ts';
import type { HashedRecord } from '../types/hashed-record.ts';
import type { LogRecord } from '../types/log-record.ts';
import type { Prefix } from '../types/prefix.ts';
import type { PrefixRange } from '../types/prefix-range.ts';
import type { Snapshot } from '../types/snapshot.ts';
import type { SnapshotMark } from '../types/snapshot-mark.ts';
import type { TailLimits } from '../types/tail-limits.ts';
import { chainHash } from './chain-hash.ts';
import { entriesOf } from './entries-of.ts';
import { GENESIS_HASH } from './genesis-hash.ts';
import { newRecords } from './new-records.ts';
import { RecordTail } from './record-tail.ts';
import { SnapshotAssembler } from './snapshot-assembler.ts';

interface FoldedStreamOptions<S> {
  readonly fold: Fold<S>;
  readonly tail: TailLimits;
}

/** State and chained hash of a stream up to one offset, which only moves forward. */
export class FoldedStream<S> {
  readonly #fold: Fold<S>;
  readonly #tail: RecordTail;
  readonly #listeners = new Set<(change: FollowerChange<S>) => void>();
  readonly #assembler = new SnapshotAssembler();
  #state: S;
  #next = 0;
  #hash = GENESIS_HASH;
  #newestSnapshot: SnapshotMark | undefined;

  constructor({ fold, tail }: FoldedStreamOptions<S>) {
    this.#fold = fold;
    this.#state = fold.initial;
    this.#tail = new RecordTail(tail, { next: 0, hash: GENESIS_HASH });
  }

  get state(): S {
    return this.#state;
  }

  /** Offset of the next record to be folded. */
  get next(): number {
    return this.#next;
  }

  /** Chained hash of all records before {@link next}. */
  get hash(): string {
    return this.#hash;
  }

  /** Newest complete snapshot seen in the stream. */
  get newestSnapshot(): SnapshotMark | undefined {
    return this.#newestSnapshot;
  }

  /** Calls `listener` after each change; returns a function that ends the subscription. */
  subscribe(listener: (change: FollowerChange<S>) => void): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /** Ends all subscriptions. */
  unsubscribeAll(): void {
    this.#listeners.clear();
  }

  /** Serialized state at the current offset. */
  snapshot(): Snapshot {
    const { snapshotter } = this.#fold;
    if (!snapshotter) throw new PrefixUnavailable('this stream keeps no snapshots');
    return { next: this.#next, hash: this.#hash, data: snapshotter.serialize(this.#state) };
  }

  /** Records from an offset on, or the state when they are no longer kept. */
  export({ from, limit }: PrefixRange): Pick<Prefix, 'base' | 'records' | 'snapshot'> {
    const hash = this.#tail.hashBefore(from);
    if (hash !== undefined) {
      return { base: { next: from, hash }, records: this.#tail.slice(from, limit) };
    }
    const base = { next: this.#next, hash: this.#hash };
    if (from > this.#next) return { base, records: [] };
    const { data } = this.snapshot();
    return { base, snapshot: { data, digest: digest([base, data]) }, records: [] };
  }

  /** Takes what a peer's prefix adds; throws and takes nothing when it does not continue the state. */
  take(prefix: Prefix): void {
    if (prefix.snapshot && prefix.base.next > this.#next) this.#takeSnapshot(prefix);
    else this.fold(newRecords({ next: this.#next, hash: this.#hash }, prefix).map(recordOf));
  }

  /** Installs a snapshot found in the stream; one that is not ahead of the state is ignored. */
  restore(snapshot: Snapshot, mark: SnapshotMark): void {
    this.#install(snapshot);
    this.#noteSnapshot(mark);
  }

  /** Folds records in order; those already folded are skipped, a skipped offset throws `LogGap`. */
  fold(records: readonly LogRecord[]): void {
    const entries: Entry[] = [];
    try {
      for (const record of records) {
        if (record.offset < this.#next) continue;
        if (record.offset > this.#next) throw new LogGap(this.#next, record.offset);
        entries.push(...this.#foldRecord(record));
      }
    } finally {
      if (entries.length > 0 || records.length > 0) this.#notify(entries);
    }
  }

  #takeSnapshot(prefix: Prefix): void {
    const { base, snapshot } = prefix;
    if (snapshot?.digest !== digest([base, snapshot?.data])) {
      throw new SnapshotInvalid('the digest of a peer’s snapshot differs from its content');
    }
    const records = newRecords(base, prefix);
    this.#install({ ...base, data: snapshot.data });
    this.fold(records.map(recordOf));
  }

  #install({ next, hash, data }: Snapshot): void {
    const { snapshotter } = this.#fold;
    if (!snapshotter) throw new SnapshotInvalid('this stream keeps no snapshots');
    if (next <= this.#next) return;
    this.#state = snapshotter.restore(data);
    this.#next = next;
    this.#hash = hash;
    this.#tail.reset({ next, hash });
    this.#notify([]);
  }

  #foldRecord(record: LogRecord): readonly Entry[] {
    const entries = entriesOf(record);
    let state = this.#state;
    for (const entry of entries) {
      if (SnapshotAssembler.isPart(entry)) this.#notePart(entry);
      else state = this.#fold.apply(state, entry);
    }
    this.#hash = chainHash(this.#hash, record);
    this.#tail.push({ record: { ...record, body: record.body }, hash: this.#hash });
    this.#state = state;
    this.#next = record.offset + 1;
    return entries;
  }

  #notePart(entry: Entry): void {
    const complete = this.#assembler.add(entry);
    if (complete) this.#noteSnapshot(complete.mark);
  }

  #noteSnapshot(mark: SnapshotMark): void {
    if (mark.next >= (this.#newestSnapshot?.next ?? 0)) this.#newestSnapshot = mark;
  }

  #notify(entries: readonly Entry[]): void {
    const change = { state: this.#state, next: this.#next, entries };
    for (const listener of [...this.#listeners]) listener(change);
  }
}

function recordOf({ record }: HashedRecord): LogRecord {
  return { ...record, body: record.body };
}
