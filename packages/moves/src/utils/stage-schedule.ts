import type { Move } from '../types/move.ts';

/** Shares of the stages; the last keeps a small part on the old version to compare with until the move is done. */
const SHARES: readonly number[] = [0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 0.98];
const FIRST_STAGE_TRIES = 10;
const TRIES_PER_STAGE = 5;
/** Largest share of a stage whose evidence comes too slowly for its time. */
const CATCH_UP_SHARE = 0.3;
/** Parts of the time until the deadline: the first stage, the start of the last, and the earliest end. */
const FIRST_STAGE_PART = 0.2;
const LAST_STAGE_PART = 0.7;
const CONFIRM_PART = 0.9;

/** When the stages of one move begin, paced backwards from its deadline. */
export class StageSchedule {
  readonly lastStage = SHARES.length - 1;
  readonly #move: Move;

  constructor(move: Move) {
    this.#move = move;
  }

  /** End of the first stage, in milliseconds after the start. */
  get firstStageMs(): number {
    return this.#windowMs * FIRST_STAGE_PART;
  }

  /** Share of the stage at `now`; larger than planned while evidence comes too slowly for the deadline. */
  shareAt(now: number, tries: number): number {
    const stage = this.stageAt(now, tries);
    const planned = this.#shareOf(stage);
    if (stage === 0) return planned;
    return Math.max(planned, Math.min(CATCH_UP_SHARE, this.#shareOf(this.#stageByTime(now))));
  }

  /** Stage that time and evidence both allow. */
  stageAt(now: number, tries: number): number {
    return Math.max(0, Math.min(this.#stageByTime(now), this.#stageByTries(tries)));
  }

  /** True once the last stage has lasted long enough for late faults to show. */
  isConfirmable(now: number): boolean {
    return now >= this.#move.startedAt + this.#windowMs * CONFIRM_PART;
  }

  #shareOf(stage: number): number {
    return SHARES[stage] ?? 0;
  }

  get #windowMs(): number {
    return Math.max(0, this.#move.takeoverBy - this.#move.startedAt);
  }

  #stageByTime(now: number): number {
    const elapsed = now - this.#move.startedAt;
    if (elapsed < this.firstStageMs) return 0;
    const middle = this.#windowMs * (LAST_STAGE_PART - FIRST_STAGE_PART);
    const stepMs = middle / (this.lastStage - 1);
    const steps = stepMs > 0 ? Math.floor((elapsed - this.firstStageMs) / stepMs) : this.lastStage;
    return Math.min(this.lastStage, 1 + steps);
  }

  #stageByTries(tries: number): number {
    if (tries < FIRST_STAGE_TRIES) return 0;
    return Math.min(this.lastStage, 1 + Math.floor((tries - FIRST_STAGE_TRIES) / TRIES_PER_STAGE));
  }
}
