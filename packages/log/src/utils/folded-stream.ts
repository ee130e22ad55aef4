import { digest, isDeeperThan } from '@ragwortrudder/core';
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
import type { RejectedRecord } from '../types/rejected-record.ts';
import type { Snapshot } from '../types/snapshot.ts';
import type { SnapshotLocation } from '../types/snapshot-location.ts';
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
  /** Called for a record or an entry that is passed over. */
  readonly onRejected?: (rejected: RejectedRecord) => void;
}

/** Levels of nested lists and objects of a record; hashing and folding walk it recursively. */
const MAX_DEPTH = 64;

/** State and chained hash of a stream up to an offset that only moves forward. */
export class FoldedStream<S> {
  readonly #fold: Fold<S>;
  readonly #tail: RecordTail;
  readonly #onRejected: (rejected: RejectedRecord) => void;
  readonly #listeners = new Set<(change: FollowerChange<S>) => void>();
  readonly #assembler = new SnapshotAssembler();
  #state: S;
  #next = 0;
  #hash = GENESIS_HASH;
  #newestSnapshot: SnapshotLocation | undefined;

  constructor({ fold, tail, onRejected = () => undefined }: FoldedStreamOptions<S>) {
    this.#fold = fold;
    this.#onRejected = onRejected;
    this.#state = fold.initial;
    this.#tail = new RecordTail(tail, { next: 0, hash: GENESIS_HASH });
  }

  get state(): S {
    return this.#state;
  }

  /** Offset of the next record to fold. */
  get next(): number {
    return this.#next;
  }

  /** Chained hash of all records before {@link next}. */
  get hash(): string {
    return this.#hash;
  }

  /** Newest complete snapshot found in the stream. */
  get newestSnapshot(): SnapshotLocation | undefined {
    return this.#newestSnapshot;
  }

  /** Calls `listener` after each change; returns a function that unsubscribes it. */
  subscribe(listener: (change: FollowerChange<S>) => void): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /** Removes all listeners. */
  unsubscribeAll(): void {
    this.#listeners.clear();
  }

  /** Returns the serialized state at the current offset. */
  snapshot(): Snapshot {
    const { snapshotter } = this.#fold;
    if (!snapshotter) throw new PrefixUnavailable('this stream does not support snapshots');
    return { next: this.#next, hash: this.#hash, data: snapshotter.serialize(this.#state) };
  }

  /**
   * Returns records from an offset on, or the serialized state when those records are no longer
   * retained.
   */
  exportPrefix({ from, limit }: PrefixRange): Pick<Prefix, 'base' | 'records' | 'snapshot'> {
    const hash = this.#tail.hashBefore(from);
    if (hash !== undefined) {
      return { base: { next: from, hash }, records: this.#tail.slice(from, limit) };
    }
    const base = { next: this.#next, hash: this.#hash };
    if (from > this.#next) return { base, records: [] };
    const { data } = this.snapshot();
    return { base, snapshot: { data, digest: digest([base, data]) }, records: [] };
  }

  /**
   * Applies the new part of a peer's prefix; throws without applying anything when it does not
   * continue the state.
   */
  applyPrefix(prefix: Prefix): void {
    if (prefix.snapshot && prefix.base.next > this.#next) this.#applySnapshot(prefix);
    else this.fold(newRecords({ next: this.#next, hash: this.#hash }, prefix).map(toLogRecord));
  }

  /** Installs a snapshot found in the stream; ignores it when it is not ahead of the state. */
  restore(snapshot: Snapshot, location: SnapshotLocation): void {
    this.#install(snapshot);
    this.#recordSnapshot(location);
  }

  /**
   * Folds records in order. Skips records that are already folded; throws `LogGap` on a missing
   * offset.
   */
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

  #applySnapshot(prefix: Prefix): void {
    const { base, snapshot } = prefix;
    if (snapshot?.digest !== digest([base, snapshot?.data])) {
      throw new SnapshotInvalid('the snapshot received from a peer does not match its digest');
    }
    const records = newRecords(base, prefix);
    this.#install({ ...base, data: snapshot.data });
    this.fold(records.map(toLogRecord));
  }

  #install({ next, hash, data }: Snapshot): void {
    const { snapshotter } = this.#fold;
    if (!snapshotter) throw new SnapshotInvalid('this stream does not support snapshots');
    if (next <= this.#next) return;
    this.#state = snapshotter.restore(data);
    this.#next = next;
    this.#hash = hash;
    this.#tail.reset({ next, hash });
    this.#notify([]);
  }

  #foldRecord(received: LogRecord): readonly Entry[] {
    const record = this.#bounded(received);
    const entries = entriesOf(record);
    let state = this.#state;
    for (const entry of entries) {
      if (SnapshotAssembler.isPart(entry)) this.#addSnapshotPart(entry);
      else state = this.#apply(state, entry);
    }
    this.#hash = chainHash(this.#hash, record);
    this.#tail.push({ record: { ...record, body: record.body }, hash: this.#hash });
    this.#state = state;
    this.#next = record.offset + 1;
    return entries;
  }

  /** The record, without a body that is nested too deeply: every node hashes and folds the same. */
  #bounded(record: LogRecord): LogRecord {
    if (!isDeeperThan(record.body, MAX_DEPTH)) return record;
    const { offset, id } = record;
    this.#onRejected({ offset, id, cause: `nested in more than ${MAX_DEPTH} levels` });
    return { ...record, body: null };
  }

  /** Folds an entry; one that cannot be folded changes nothing, and the stream goes on after it. */
  #apply(state: S, entry: Entry): S {
    try {
      return this.#fold.apply(state, entry);
    } catch (error) {
      const cause = error instanceof Error ? error.message : String(error);
      this.#onRejected({ offset: entry.offset, id: entry.id, cause });
      return state;
    }
  }

  #addSnapshotPart(entry: Entry): void {
    const complete = this.#assembler.add(entry);
    if (complete) this.#recordSnapshot(complete.location);
  }

  #recordSnapshot(location: SnapshotLocation): void {
    if (location.next >= (this.#newestSnapshot?.next ?? 0)) this.#newestSnapshot = location;
  }

  #notify(entries: readonly Entry[]): void {
    const change = { state: this.#state, next: this.#next, entries };
    for (const listener of [...this.#listeners]) listener(change);
  }
}

function toLogRecord({ record }: HashedRecord): LogRecord {
  return { ...record, body: record.body };
}
