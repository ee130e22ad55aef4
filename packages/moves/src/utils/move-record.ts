import { Chart, versionMove } from '@ragwortrudder/charts';
import type { BadMark } from '../types/bad-mark.ts';
import type { Evidence } from '../types/evidence.ts';
import type { Move } from '../types/move.ts';
import type { MoveStatus } from '../types/move-status.ts';
import type { MoveWord } from '../types/move-word.ts';
import type { SharePlan } from '../types/share-plan.ts';
import type { Verdict } from '../types/verdict.ts';
import type { VerdictOptions } from '../types/verdict-options.ts';
import { SequentialScores } from './sequential-scores.ts';
import { shareOf } from './share-of.ts';
import { StageSchedule } from './stage-schedule.ts';
import { versionVerdict } from './version-verdict.ts';

const FORWARD_EVENTS = ['START', 'WIDEN', 'FULL', 'CONFIRM'];

/** One move as one node knows it. */
export class MoveRecord {
  readonly move: Move;
  readonly #chart = new Chart(versionMove);
  readonly #marks = new Map<string, BadMark>();
  readonly #options: VerdictOptions;
  #scores: SequentialScores;
  #verdict: Verdict = { state: 'unproved', reason: 'no evidence yet', tries: 0, failures: 0 };
  #judgedTries = 0;
  #word: MoveWord | undefined;
  #pendingWord: MoveWord | undefined;

  constructor(move: Move, options: VerdictOptions = {}) {
    this.move = move;
    this.#options = options;
    this.#scores = new SequentialScores(move);
  }

  get marks(): readonly BadMark[] {
    return [...this.#marks.values()];
  }

  /** True once the log holds the word or a later ticket took the move's place. */
  get isOver(): boolean {
    return this.#chart.final;
  }

  /** Adds a statement that the version is to be taken back; it is never withdrawn. */
  addMark(mark: BadMark): void {
    const known = this.#marks.get(mark.nodeId);
    if (!known || mark.at < known.at) this.#marks.set(mark.nodeId, mark);
  }

  /** Judges the joined evidence and returns the mark that this node has to add, if any. */
  look(evidence: Evidence, nodeId: string, now: number): BadMark | undefined {
    if (this.isOver) return undefined;
    this.#judge(evidence);
    const plan = this.plan(now);
    this.#follow(plan, now);
    if (plan.due) this.#pendingWord = { moveId: this.move.id, word: plan.due, reason: plan.reason };
    if (plan.due !== 'undone' || this.#marks.has(nodeId)) return undefined;
    const mark = { moveId: this.move.id, nodeId, at: now, reason: plan.reason };
    this.addMark(mark);
    return mark;
  }

  plan(now: number): SharePlan {
    return shareOf({
      move: this.move,
      verdict: this.#verdict,
      marks: this.marks,
      word: this.#word,
      proved: this.#pendingWord?.word === 'done',
      now,
    });
  }

  /** Takes the word of the log over; the first one stands. */
  settle(word: MoveWord): void {
    if (this.#word) return;
    this.#word = word;
    this.#pendingWord = undefined;
    if (word.word === 'undone') {
      this.#sendAll(['START', 'BAD', 'CONFIRM']);
      return;
    }
    this.#sendAll(FORWARD_EVENTS);
  }

  /** Ends the move because a later ticket took its place. */
  supersede(): void {
    if (this.isOver) return;
    this.settle({ moveId: this.move.id, word: 'undone', reason: 'superseded by a later ticket' });
  }

  status(now: number): MoveStatus {
    return {
      moveId: this.move.id,
      state: this.#chart.state,
      plan: this.plan(now),
      verdict: this.#verdict,
      pendingWord: this.#pendingWord,
      word: this.#word,
    };
  }

  #judge(evidence: Evidence): void {
    const ended = evidence.cells.reduce((sum, { tries }) => sum + tries, 0);
    if (ended === this.#judgedTries) return;
    this.#judgedTries = ended;
    this.#scores = this.#scores.advance(evidence);
    this.#verdict = versionVerdict({
      pair: this.move,
      evidence,
      scores: this.#scores,
      options: this.#options,
    });
  }

  #follow(plan: SharePlan, now: number): void {
    if (now >= this.move.startedAt) this.#sendAll(['START']);
    if (plan.due === 'undone') {
      this.#sendAll([this.#verdict.state === 'bad' || this.#marks.size > 0 ? 'BAD' : 'DEADLINE']);
      return;
    }
    if (plan.stage > 0) this.#sendAll(['WIDEN']);
    if (plan.stage === new StageSchedule(this.move).lastStage) this.#sendAll(['FULL']);
  }

  #sendAll(events: readonly string[]): void {
    for (const event of events) if (this.#chart.can(event)) this.#chart.send(event);
  }
}
