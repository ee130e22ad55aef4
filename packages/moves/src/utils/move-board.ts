import type { Clock, Random } from '@ragwortrudder/core';
import type { BadMark } from '../types/bad-mark.ts';
import type { Evidence } from '../types/evidence.ts';
import type { Move } from '../types/move.ts';
import type { MoveBoardOptions } from '../types/move-board-options.ts';
import type { MoveStatus } from '../types/move-status.ts';
import type { MoveWord } from '../types/move-word.ts';
import type { Outcome } from '../types/outcome.ts';
import type { VerdictOptions } from '../types/verdict-options.ts';
import { allowanceOf } from './allowance-of.ts';
import { chooseVersion } from './choose-version.ts';
import { EvidenceRecorder } from './evidence-recorder.ts';
import { MoveRecord } from './move-record.ts';
import { sumEvidence } from './sum-evidence.ts';

interface Usage {
  readonly seen: number;
  readonly started: number;
  readonly inFlight: number;
}

/** Moves unknown to this node whose statements are kept until their tickets arrive. */
const MAX_EARLY_MOVES = 64;
const NO_USAGE: Usage = { seen: 0, started: 0, inFlight: 0 };

/** Version moves of one node: chooses versions, counts outcomes, judges, and says which words are due. */
export class MoveBoard {
  readonly #nodeId: string;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #nodeIds: () => readonly string[];
  readonly #options: VerdictOptions;
  readonly #recorder = new EvidenceRecorder();
  readonly #records = new Map<string, MoveRecord>();
  readonly #usage = new Map<string, Usage>();
  readonly #earlyMarks = new Map<string, BadMark[]>();

  constructor(options: MoveBoardOptions) {
    this.#nodeId = options.nodeId;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#nodeIds = options.nodeIds;
    this.#options = options.verdict ?? {};
  }

  /** Starts to follow a move of a ticket; an earlier one of the same service is superseded. */
  add(move: Move): void {
    if (this.#records.has(move.id)) return;
    this.#openRecord(move.service)?.supersede();
    const record = new MoveRecord(move, this.#options);
    for (const mark of this.#earlyMarks.get(move.id) ?? []) record.addMark(mark);
    this.#earlyMarks.delete(move.id);
    this.#records.set(move.id, record);
  }

  /** Takes over the word that the log holds; the first by offset stands. */
  settle(word: MoveWord): void {
    this.#records.get(word.moveId)?.settle(word);
  }

  /** Forgets a move that is over, with its evidence of the version that serves no more. */
  forget(moveId: string): void {
    const record = this.#records.get(moveId);
    if (!record?.isOver) return;
    this.#records.delete(moveId);
    this.#usage.delete(moveId);
  }

  /** Version for one request of a service; nothing when no move of it is under way. */
  choose(service: string): string | undefined {
    const record = this.#openRecord(service);
    if (!record) return undefined;
    const { move } = record;
    const now = this.#clock.wall();
    const plan = record.plan(now);
    const { maxRequests } = plan;
    const usage = this.#usage.get(move.id) ?? NO_USAGE;
    const nodeIds = this.#nodeIds();
    const allowance = allowanceOf({ moveId: move.id, nodeId: this.#nodeId, nodeIds, maxRequests });
    const version = chooseVersion({ move, plan, random: this.#random, allowance, now, ...usage });
    const isNew = version === move.toVersion ? 1 : 0;
    this.#usage.set(move.id, {
      seen: usage.seen + 1,
      started: usage.started + isNew,
      inFlight: usage.inFlight + isNew,
    });
    return version;
  }

  /** Counts the outcome of a request whose version `choose` named. */
  record(outcome: Outcome): void {
    this.#recorder.record(outcome);
    const record = this.#openRecord(outcome.service);
    if (record?.move.toVersion !== outcome.version) return;
    const usage = this.#usage.get(record.move.id) ?? NO_USAGE;
    const inFlight = Math.max(0, usage.inFlight - 1);
    this.#usage.set(record.move.id, { ...usage, inFlight });
  }

  /** Evidence of this node for the moves under way; goes into its report. */
  get evidence(): Evidence {
    const open = [...this.#records.values()].filter(({ isOver }) => !isOver);
    return this.#recorder.evidenceOf(new Set(open.map(({ move }) => move.service)));
  }

  /** Statements of this node and others that a version is to be taken back; go into its report. */
  get marks(): readonly BadMark[] {
    return [...this.#records.values()]
      .filter(({ isOver }) => !isOver)
      .flatMap(({ marks }) => marks);
  }

  /** Joins the statements of other nodes. */
  mergeMarks(marks: readonly BadMark[]): void {
    for (const mark of marks) {
      const record = this.#records.get(mark.moveId);
      if (record) record.addMark(mark);
      else this.#keepEarly(mark);
    }
  }

  /**
   * Judges every move by the evidence of the other nodes and this one.
   * @returns the new statements of this node, which are to be reported urgently
   */
  look(othersEvidence: readonly Evidence[]): readonly BadMark[] {
    const joined = sumEvidence([this.evidence, ...othersEvidence]);
    const now = this.#clock.wall();
    return [...this.#records.values()].flatMap(
      (record) => record.look(joined, this.#nodeId, now) ?? [],
    );
  }

  /** Words that this node would write to the log now. */
  get pendingWords(): readonly MoveWord[] {
    return this.statuses.flatMap(({ pendingWord }) => pendingWord ?? []);
  }

  get statuses(): readonly MoveStatus[] {
    const now = this.#clock.wall();
    return [...this.#records.values()].map((record) => record.status(now));
  }

  #openRecord(service: string): MoveRecord | undefined {
    return [...this.#records.values()].find(
      (record) => record.move.service === service && !record.isOver,
    );
  }

  #keepEarly(mark: BadMark): void {
    const known = this.#earlyMarks.get(mark.moveId) ?? [];
    if (known.some(({ nodeId }) => nodeId === mark.nodeId)) return;
    this.#earlyMarks.set(mark.moveId, [...known, mark]);
    if (this.#earlyMarks.size <= MAX_EARLY_MOVES) return;
    const [oldest] = this.#earlyMarks.keys();
    if (oldest !== undefined) this.#earlyMarks.delete(oldest);
  }
}
