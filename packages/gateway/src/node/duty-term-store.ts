import { AppendConflict } from '@ragwortrudder/log';
import type { Clock } from '@ragwortrudder/core';
import type { KeyedLog, KeyedPosition, KeyedRecord } from '@ragwortrudder/log';
import { isDeepStrictEqual } from 'node:util';
import type { DutyTerm } from '../types/duty-term.ts';
import type { TermView } from '../types/term-view.ts';
import * as z from 'zod';
import { PeerEntry } from '../types/peer-entry.ts';
import { Ordinal } from '../types/ordinal.ts';
import { decodeJson } from '../utils/decode-json.ts';
import type { DecisionLog } from './decision-log.ts';

interface DutyTermStoreOptions {
  readonly log: KeyedLog;
  readonly node: string;
  /** Where peers reach this node. */
  readonly entry?: PeerEntry;
  readonly clock: Clock;
  /** Minimum time between the last action of one holder and the first of the next, in milliseconds. */
  readonly leaseMs: number;
  readonly decisions?: Pick<DecisionLog, 'rejected'>;
}

const TermRecord = z
  .object({
    holder: z.string(),
    token: Ordinal,
    /** Newest era of the log in which the records beside the term are known to be complete. */
    era: Ordinal.default(0),
    /** Where peers reach the holder; absent in a term of an older build. */
    entry: PeerEntry.optional(),
  })
  .readonly();
type TermRecord = z.infer<typeof TermRecord>;

const TERM_KEY = 'term';
/** Share of the lease after which a holder that has appended nothing else renews its term. */
const RENEWAL_SHARE = 1 / 3;
/** Fencing tokens reserved for an era, so that tokens rise although offsets are given out again. */
const TOKENS_PER_ERA = 2 ** 24;

/**
 * Stores the duty term and the actions of its holder in a topic of the log. A term is acquired, and each
 * action is recorded, by a conditional append that succeeds only if the writer has read the whole topic.
 * An action that was recorded is therefore known to belong to the newest term. When the log is restored
 * from an older copy, the holder of the newest term writes its records again.
 */
export class DutyTermStore {
  /** Topic of the terms and the records of their holders. */
  static readonly topic = 'duties';
  readonly #options: DutyTermStoreOptions;
  #records: ReadonlyMap<string, unknown> = new Map();
  #position: KeyedPosition | undefined;
  /** Keys whose newest records were lost when the log was restored. */
  #lostKeys: ReadonlySet<string> = new Set();
  /** Era in which `#records` were read. */
  #era = 0;
  #term: DutyTerm | undefined;
  /** Newest era in which the records of the own term are complete. */
  #completeEra = 0;
  /** This node has recorded what its predecessor may have done without a record that is left. */
  #isSettled = true;
  /** Monotonic time at which the newest own append that took effect was sent, in milliseconds. */
  #appendedAt = -Infinity;

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

  /**
   * The log was restored from an older copy, and no holder since has written all records again: the
   * newest actions of earlier holders are not known. This holds for the next holder as well, until this
   * one has recorded what it did about it and calls `settle`.
   */
  get mayLackRecords(): boolean {
    return !this.#isSettled;
  }

  /** Declares the records complete; returns false and ends the term when another node holds a newer one. */
  async settle(): Promise<boolean> {
    if (this.#isSettled) return true;
    this.#isSettled = true;
    return (await this.#confirmedPosition()) !== undefined;
  }

  /** Reads the topic and returns the newest term. */
  async observe(): Promise<TermView> {
    const position = await this.#read();
    const record = this.#termRecord();
    const { holder, token = 0, entry } = record ?? {};
    return { position, holder, token, entry };
  }

  /**
   * Tries to acquire a new term; `isTaken` is false when another node was faster. Given the position of
   * the newest `observe`, the term is only acquired if nothing was appended since.
   */
  async takeOver(observed?: KeyedPosition): Promise<{
    readonly isTaken: boolean;
    readonly previousHolder: string | undefined;
  }> {
    const position = observed ?? (await this.#read());
    const previous = this.#termRecord();
    const token = Math.max(
      position.era * TOKENS_PER_ERA + position.offset + 1,
      (previous?.token ?? 0) + 1,
    );
    this.#completeEra = previous?.era ?? 0;
    try {
      await this.#append(TERM_KEY, this.#newTermRecord(token), position);
    } catch (error) {
      if (!(error instanceof AppendConflict)) throw error;
      return { isTaken: false, previousHolder: previous?.holder };
    }
    this.#term = { holder: this.#options.node, fencingToken: token };
    this.#isSettled = this.#completeEra >= position.era;
    this.#lostKeys = new Set();
    return { isTaken: true, previousHolder: previous?.holder };
  }

  /**
   * Records an action before it is performed. Returns false and ends the term when another node
   * holds a newer one.
   */
  async record(key: string, value: unknown): Promise<boolean> {
    const position = await this.#confirmedPosition();
    if (!position) return false;
    try {
      await this.#append(key, value, position);
      return true;
    } catch (error) {
      if (!(error instanceof AppendConflict)) throw error;
    }
    // Either an own append whose reply was lost, a restored log, or a newer term.
    const newPosition = await this.#confirmedPosition();
    if (!newPosition) return false;
    await this.#append(key, value, newPosition);
    return true;
  }

  /**
   * Checks that this node still holds the newest term, where that is in doubt, and writes again what a
   * restored log has lost. Returns false and ends the term when another node holds a newer one. Others
   * take over from a holder that appends nothing for a lease, so the term is renewed in time.
   */
  async confirm(): Promise<boolean> {
    const { clock, leaseMs } = this.#options;
    const position = await this.#confirmedPosition();
    if (!position || !this.#term) return false;
    if (clock.monotonic() - this.#appendedAt < leaseMs * RENEWAL_SHARE) return true;
    try {
      await this.#append(TERM_KEY, this.#newTermRecord(this.#term.fencingToken), position);
      return true;
    } catch (error) {
      if (!(error instanceof AppendConflict)) throw error;
      return (await this.#confirmedPosition()) !== undefined;
    }
  }

  /** Gives up the term on this node. */
  resign(): void {
    this.#term = undefined;
  }

  /** Position of the next append; undefined when this node does not hold the newest term. */
  async #confirmedPosition(): Promise<KeyedPosition | undefined> {
    if (!this.#term) return undefined;
    let position = this.#position;
    if (position?.era !== this.#options.log.era || this.#lostKeys.size > 0) {
      position = await this.#reread();
    }
    const { term } = this;
    if (!term || this.#termRecord()?.token !== term.fencingToken) {
      this.#term = undefined;
      return undefined;
    }
    for (const key of this.#lostKeys) {
      position = await this.#append(key, this.#records.get(key), position);
      this.#lostKeys = new Set([...this.#lostKeys].filter((lost) => lost !== key));
    }
    if (this.#isSettled && this.#completeEra < position.era) {
      // Last, since a successor takes the records for complete by the era in the term.
      const { era } = position;
      const record = this.#newTermRecord(term.fencingToken, era);
      position = await this.#append(TERM_KEY, record, position);
      this.#completeEra = era;
    }
    return position;
  }

  /** Reads the topic; in a new era, records of this node's term stay valid until it is replaced. */
  async #reread(): Promise<KeyedPosition> {
    const own = this.#records;
    const era = this.#era;
    const position = await this.#read();
    this.#position = position;
    if (era !== position.era && this.#mayBeReplaced) this.#term = undefined;
    const isReplaced = (this.#termRecord()?.token ?? 0) > (this.#term?.fencingToken ?? 0);
    if (isReplaced || (era === position.era && this.#lostKeys.size === 0)) {
      this.#lostKeys = new Set();
      return position;
    }
    const stored = this.#records;
    // The log may have lost a term that is newer than the one that it has.
    const term = this.#term && this.#newTermRecord(this.#term.fencingToken);
    this.#records = new Map([...stored, ...own, [TERM_KEY, term]]);
    // The term comes first: its append fails when another node takes over at the same time.
    this.#lostKeys = new Set(
      [TERM_KEY, ...own.keys()].filter(
        (key) => !isDeepStrictEqual(stored.get(key), this.#records.get(key)),
      ),
    );
    return position;
  }

  /** Another node may have taken the term, which a restored log does not show. */
  get #mayBeReplaced(): boolean {
    const { clock, leaseMs } = this.#options;
    return clock.monotonic() - this.#appendedAt >= leaseMs;
  }

  async #read(): Promise<KeyedPosition> {
    const { records, next, era } = await this.#options.log.newest(DutyTermStore.topic);
    this.#records = new Map(records.flatMap((record) => this.#decode(record)));
    this.#era = era;
    return { offset: next, era };
  }

  #decode({ key, value }: KeyedRecord): readonly (readonly [string, unknown])[] {
    const decoded = decodeJson(value);
    if (decoded !== undefined) return [[key, decoded]];
    const isDropped = value === undefined;
    if (!isDropped) {
      const rejected = { topic: DutyTermStore.topic, key, cause: 'not readable' };
      this.#options.decisions?.rejected(rejected);
    }
    return [];
  }

  /** Appends a record at a position and returns the next one. */
  async #append(
    key: string,
    value: unknown,
    { offset: at, era }: KeyedPosition,
  ): Promise<KeyedPosition> {
    this.#position = undefined;
    const sentAt = this.#options.clock.monotonic();
    const bytes = Buffer.from(JSON.stringify(value));
    const offset = await this.#options.log.append({
      topic: DutyTermStore.topic,
      key,
      value: bytes,
      at,
      era,
    });
    this.#appendedAt = sentAt;
    const next = { offset: offset + 1, era };
    this.#position = next;
    this.#records = new Map([...this.#records, [key, value]]);
    return next;
  }

  #newTermRecord(token: number, era = this.#completeEra): TermRecord {
    const { node: holder, entry } = this.#options;
    return { holder, token, era, ...(entry ? { entry } : {}) };
  }

  #termRecord(): TermRecord | undefined {
    return TermRecord.safeParse(this.#records.get(TERM_KEY)).data;
  }
}
