import { Chart, versionMove } from '@ragwortrudder/charts';
import type { BadMark } from '../types/bad-mark.ts';
import type { Evidence } from '../types/evidence.ts';
import type { Move } from '../types/move.ts';
import type { MoveStatus } from '../types/move-status.ts';
import type { MoveDecision } from '../types/move-decision.ts';
import type { SharePlan } from '../types/share-plan.ts';
import type { Verdict } from '../types/verdict.ts';
import type { VerdictOptions } from '../types/verdict-options.ts';
import { SequentialScores } from './sequential-scores.ts';
import { planShare } from './plan-share.ts';
import { StageSchedule } from './stage-schedule.ts';
import { versionVerdict } from './version-verdict.ts';

const DONE_EVENTS = ['START', 'WIDEN', 'FULL', 'CONFIRM'];

/** State of one move on one node. */
export class MoveRecord {
  readonly move: Move;
  readonly #chart = new Chart(versionMove);
  readonly #marks = new Map<string, BadMark>();
  readonly #options: VerdictOptions;
  #scores: SequentialScores;
  #verdict: Verdict = { state: 'unproved', reason: 'no evidence yet', tries: 0, failures: 0 };
  #evaluatedTries = 0;
  #decision: MoveDecision | undefined;
  #pendingDecision: MoveDecision | undefined;

  constructor(move: Move, options: VerdictOptions = {}) {
    this.move = move;
    this.#options = options;
    this.#scores = new SequentialScores(move);
  }

  get marks(): readonly BadMark[] {
    return [...this.#marks.values()];
  }

  /** True once the log contains the decision or a later ticket superseded the move. */
  get isOver(): boolean {
    return this.#chart.final;
  }

  /** Adds a mark that the version must be rolled back; marks are never withdrawn. */
  addMark(mark: BadMark): void {
    const earlier = this.#marks.get(mark.nodeId);
    if (!earlier || mark.at < earlier.at) this.#marks.set(mark.nodeId, mark);
  }

  /** Evaluates the combined evidence and returns the mark that this node adds, if any. */
  evaluate(evidence: Evidence, nodeId: string, now: number): BadMark | undefined {
    if (this.isOver) return undefined;
    this.#updateVerdict(evidence);
    const plan = this.plan(now);
    this.#advanceChart(plan, now);
    if (plan.due)
      this.#pendingDecision = { moveId: this.move.id, word: plan.due, reason: plan.reason };
    if (plan.due !== 'undone' || this.#marks.has(nodeId)) return undefined;
    const mark = { moveId: this.move.id, nodeId, at: now, reason: plan.reason };
    this.addMark(mark);
    return mark;
  }

  plan(now: number): SharePlan {
    return planShare({
      move: this.move,
      verdict: this.#verdict,
      marks: this.marks,
      decision: this.#decision,
      isProved: this.#pendingDecision?.word === 'done',
      now,
    });
  }

  /** Applies the decision from the log; only the first one is effective. */
  applyDecision(decision: MoveDecision): void {
    if (this.#decision) return;
    this.#decision = decision;
    this.#pendingDecision = undefined;
    if (decision.word === 'undone') {
      this.#sendAllowed(['START', 'BAD', 'CONFIRM']);
      return;
    }
    this.#sendAllowed(DONE_EVENTS);
  }

  /** Ends the move because a later ticket superseded it. */
  supersede(): void {
    if (this.isOver) return;
    this.applyDecision({
      moveId: this.move.id,
      word: 'undone',
      reason: 'superseded by a later ticket',
    });
  }

  status(now: number): MoveStatus {
    return {
      moveId: this.move.id,
      state: this.#chart.state,
      plan: this.plan(now),
      verdict: this.#verdict,
      pendingWord: this.#pendingDecision,
      word: this.#decision,
    };
  }

  #updateVerdict(evidence: Evidence): void {
    const totalTries = evidence.cells.reduce((sum, { tries }) => sum + tries, 0);
    if (totalTries === this.#evaluatedTries) return;
    this.#evaluatedTries = totalTries;
    this.#scores = this.#scores.advance(evidence);
    this.#verdict = versionVerdict({
      pair: this.move,
      evidence,
      scores: this.#scores,
      options: this.#options,
    });
  }

  #advanceChart(plan: SharePlan, now: number): void {
    if (now >= this.move.startedAt) this.#sendAllowed(['START']);
    if (plan.due === 'undone') {
      this.#sendAllowed([
        this.#verdict.state === 'bad' || this.#marks.size > 0 ? 'BAD' : 'DEADLINE',
      ]);
      return;
    }
    if (plan.stage > 0) this.#sendAllowed(['WIDEN']);
    if (plan.stage === new StageSchedule(this.move).lastStage) this.#sendAllowed(['FULL']);
  }

  #sendAllowed(events: readonly string[]): void {
    for (const event of events) if (this.#chart.can(event)) this.#chart.send(event);
  }
}
