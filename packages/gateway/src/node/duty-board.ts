import { AppendConflict } from '@ragwortrudder/log';
import type { KeyedLog } from '@ragwortrudder/log';
import type { DutyTerm } from '../types/duty-term.ts';

interface DutyBoardOptions {
  readonly log: KeyedLog;
  readonly node: string;
}

interface TermRecord {
  readonly holder: string;
  readonly token: number;
}

const TOPIC = 'duties';
const TERM_KEY = 'term';

function decode(value: Uint8Array | undefined): unknown {
  if (!value) return undefined;
  try {
    return JSON.parse(Buffer.from(value).toString()) as unknown;
  } catch {
    return undefined;
  }
}

/**
 * Duties that one node performs at a time, as a topic of the log. A term is taken, and each act is
 * recorded, by an append that only takes effect where the writer has read everything: so an act that
 * could be recorded is known to be made within the newest term.
 */
export class DutyBoard {
  readonly #options: DutyBoardOptions;
  #records: ReadonlyMap<string, unknown> = new Map();
  #end: number | undefined;
  #term: DutyTerm | undefined;

  constructor(options: DutyBoardOptions) {
    this.#options = options;
  }

  /** Term that this node holds, as far as it knows. */
  get term(): DutyTerm | undefined {
    return this.#term;
  }

  /** Newest record of each duty, as of the last read. */
  get records(): ReadonlyMap<string, unknown> {
    return this.#records;
  }

  /** Node that took the newest term, if any did. */
  async newestHolder(): Promise<string | undefined> {
    await this.#read();
    return this.#termRecord()?.holder;
  }

  /** Takes a new term; false when another node was faster. Returns the holder before. */
  async takeOver(): Promise<{ readonly isTaken: boolean; readonly before: string | undefined }> {
    const end = await this.#read();
    const before = this.#termRecord();
    const token = Math.max(end + 1, (before?.token ?? 0) + 1);
    try {
      await this.#append(TERM_KEY, { holder: this.#options.node, token }, end);
    } catch (error) {
      if (!(error instanceof AppendConflict)) throw error;
      return { isTaken: false, before: before?.holder };
    }
    this.#term = { holder: this.#options.node, fencingToken: token };
    return { isTaken: true, before: before?.holder };
  }

  /** Records an act before it is made; false, and the term is over, when another node holds a newer one. */
  async record(key: string, value: unknown): Promise<boolean> {
    if (!this.#term) return false;
    if (this.#end === undefined) {
      const end = await this.#read();
      if (this.#termRecord()?.token !== this.#term.fencingToken) return this.#lose();
      this.#end = end;
    }
    try {
      await this.#append(key, value, this.#end);
      return true;
    } catch (error) {
      if (error instanceof AppendConflict) {
        this.#end = undefined;
        return this.#confirm(key, value);
      }
      throw error;
    }
  }

  /** Ends the term on this node. */
  resign(): void {
    this.#term = undefined;
  }

  /** After a conflict: an append of this node's own whose reply was lost, or a newer term. */
  async #confirm(key: string, value: unknown): Promise<boolean> {
    const end = await this.#read();
    if (this.#termRecord()?.token !== this.#term?.fencingToken) return this.#lose();
    await this.#append(key, value, end);
    return true;
  }

  #lose(): false {
    this.#term = undefined;
    return false;
  }

  async #read(): Promise<number> {
    const { records, next } = await this.#options.log.newest(TOPIC);
    this.#records = new Map(records.map(({ key, value }) => [key, decode(value)]));
    return next;
  }

  async #append(key: string, value: unknown, at: number): Promise<void> {
    this.#end = undefined;
    const bytes = Buffer.from(JSON.stringify(value));
    const offset = await this.#options.log.append({ topic: TOPIC, key, value: bytes, at });
    this.#end = offset + 1;
    this.#records = new Map([...this.#records, [key, value]]);
  }

  #termRecord(): TermRecord | undefined {
    const record = this.#records.get(TERM_KEY) as Partial<TermRecord> | undefined;
    if (typeof record?.holder !== 'string' || typeof record.token !== 'number') return undefined;
    return { holder: record.holder, token: record.token };
  }
}
