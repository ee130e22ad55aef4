import { AppendConflict } from '@ragwortrudder/log';
import type { KeyedLog } from '@ragwortrudder/log';
import type { DutyTerm } from '../types/duty-term.ts';
import { decodeJson } from '../utils/decode-json.ts';

interface DutyTermStoreOptions {
  readonly log: KeyedLog;
  readonly node: string;
}

interface TermRecord {
  readonly holder: string;
  readonly token: number;
}

const TERM_KEY = 'term';

/**
 * Stores the duty term and the actions of its holder in a topic of the log. A term is acquired, and each
 * action is recorded, by a conditional append that succeeds only if the writer has read the whole topic.
 * An action that was recorded is therefore known to belong to the newest term.
 */
export class DutyTermStore {
  /** Topic of the terms and the records of their holders. */
  static readonly topic = 'duties';
  readonly #options: DutyTermStoreOptions;
  #records: ReadonlyMap<string, unknown> = new Map();
  #nextOffset: number | undefined;
  #term: DutyTerm | undefined;

  constructor(options: DutyTermStoreOptions) {
    this.#options = options;
  }

  /** Term that this node believes to hold. */
  get term(): DutyTerm | undefined {
    return this.#term;
  }

  /** Newest record of each key, as of the last read. */
  get records(): ReadonlyMap<string, unknown> {
    return this.#records;
  }

  /** Holder of the newest term, if there is one. */
  async latestHolder(): Promise<string | undefined> {
    await this.#read();
    return this.#termRecord()?.holder;
  }

  /** Tries to acquire a new term; `isTaken` is false when another node was faster. */
  async takeOver(): Promise<{
    readonly isTaken: boolean;
    readonly previousHolder: string | undefined;
  }> {
    const nextOffset = await this.#read();
    const previous = this.#termRecord();
    const token = Math.max(nextOffset + 1, (previous?.token ?? 0) + 1);
    try {
      await this.#append(TERM_KEY, { holder: this.#options.node, token }, nextOffset);
    } catch (error) {
      if (!(error instanceof AppendConflict)) throw error;
      return { isTaken: false, previousHolder: previous?.holder };
    }
    this.#term = { holder: this.#options.node, fencingToken: token };
    return { isTaken: true, previousHolder: previous?.holder };
  }

  /**
   * Records an action before it is performed. Returns false and ends the term when another node
   * holds a newer one.
   */
  async record(key: string, value: unknown): Promise<boolean> {
    if (!this.#term) return false;
    if (this.#nextOffset === undefined) {
      const nextOffset = await this.#read();
      if (this.#termRecord()?.token !== this.#term.fencingToken) return this.#endTerm();
      this.#nextOffset = nextOffset;
    }
    try {
      await this.#append(key, value, this.#nextOffset);
      return true;
    } catch (error) {
      if (error instanceof AppendConflict) {
        this.#nextOffset = undefined;
        return this.#appendAfterConflict(key, value);
      }
      throw error;
    }
  }

  /** Gives up the term on this node. */
  resign(): void {
    this.#term = undefined;
  }

  /** Retries after a conflict, which is either an own append whose reply was lost or a newer term. */
  async #appendAfterConflict(key: string, value: unknown): Promise<boolean> {
    const nextOffset = await this.#read();
    if (this.#termRecord()?.token !== this.#term?.fencingToken) return this.#endTerm();
    await this.#append(key, value, nextOffset);
    return true;
  }

  #endTerm(): false {
    this.#term = undefined;
    return false;
  }

  async #read(): Promise<number> {
    const { records, next } = await this.#options.log.newest(DutyTermStore.topic);
    this.#records = new Map(records.map(({ key, value }) => [key, decodeJson(value)]));
    return next;
  }

  async #append(key: string, value: unknown, at: number): Promise<void> {
    this.#nextOffset = undefined;
    const bytes = Buffer.from(JSON.stringify(value));
    const offset = await this.#options.log.append({
      topic: DutyTermStore.topic,
      key,
      value: bytes,
      at,
    });
    this.#nextOffset = offset + 1;
    this.#records = new Map([...this.#records, [key, value]]);
  }

  #termRecord(): TermRecord | undefined {
    const record = this.#records.get(TERM_KEY) as Partial<TermRecord> | undefined;
    if (typeof record?.holder !== 'string' || typeof record.token !== 'number') return undefined;
    return { holder: record.holder, token: record.token };
  }
}
