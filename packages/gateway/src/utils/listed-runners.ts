import { isDeepStrictEqual } from 'node:util';
import type { RunnerEntry } from '@ragwortrudder/catalog';
import type { KeyedRecord } from '@ragwortrudder/log';

interface ListedRunnersOptions {
  /** Decodes a record; undefined when it names no runner. */
  readonly decode: (record: KeyedRecord) => RunnerEntry | undefined;
}

interface ListedRunner {
  readonly entry: RunnerEntry | undefined;
  readonly offset: number;
  /** Renewals of the entry that others still have to be told. */
  readonly untold: number;
}

/** Renewals of a new entry that others are told, so that one in doubt about the entry sees that it is renewed. */
const TOLD_RENEWALS = 2;

/**
 * The list of runners as its records tell it, whatever this node knows of the runners from elsewhere.
 * Selects the records that another node needs which has followed the list up to an offset.
 */
export class ListedRunners {
  readonly #options: ListedRunnersOptions;
  readonly #listed = new Map<string, ListedRunner>();

  constructor(options: ListedRunnersOptions) {
    this.#options = options;
  }

  /** Replaces the list by a snapshot, whose records may be newer than the position that it is for. */
  replaceAll(records: readonly KeyedRecord[]): void {
    this.#listed.clear();
    for (const record of records) {
      if (!record.value) continue;
      const { key, offset } = record;
      this.#listed.set(key, { entry: this.#options.decode(record), offset, untold: 0 });
    }
  }

  /** Applies records that follow those that are known. */
  apply(records: readonly KeyedRecord[]): void {
    for (const record of records) this.#set(record, this.#listed);
  }

  /**
   * The records among `records`, which begin at `from`, that change the list for a node at `from`, in
   * their order. A removal always does: the snapshot of this node may have lacked the runner already.
   */
  changesIn(records: readonly KeyedRecord[], from: number): readonly KeyedRecord[] {
    const listed = new Map<string, ListedRunner>();
    return records.filter((record) => {
      const known = this.#listed.get(record.key);
      if (!listed.has(record.key) && known && known.offset < from) listed.set(record.key, known);
      return this.#set(record, listed);
    });
  }

  /** Applies a record to a list; returns whether others need it. */
  #set(record: KeyedRecord, listed: Map<string, ListedRunner>): boolean {
    const { key, value, offset } = record;
    if (!value) {
      listed.delete(key);
      return true;
    }
    const known = listed.get(key);
    const entry = this.#options.decode(record);
    const isSame = known !== undefined && isDeepStrictEqual(entry, known.entry);
    const isNew = known === undefined || known.entry?.bornMs !== entry?.bornMs;
    const untold = isNew ? TOLD_RENEWALS : Math.max(0, known.untold - (isSame ? 1 : 0));
    listed.set(key, { entry, offset, untold });
    return !isSame || known.untold > 0;
  }
}
