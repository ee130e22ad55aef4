import type { Move } from '../types/move.ts';

/** Traffic shares by stage; the last one leaves a small part on the old version for comparison until the move is done. */
const SHARES: readonly number[] = [0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 0.98];
const FIRST_STAGE_TRIES = 10;
const TRIES_PER_STAGE = 5;
/** Maximum share to which a stage is raised when evidence lags behind the schedule. */
const CATCH_UP_SHARE = 0.3;
/** Fractions of the time window: the end of the first stage, the start of the last stage, and the earliest confirmation. */
const FIRST_STAGE_FRACTION = 0.2;
const LAST_STAGE_FRACTION = 0.7;
const CONFIRM_FRACTION = 0.9;

/** Schedule of the stages of one move, derived from its deadline. */
export class StageSchedule {
  readonly lastStage = SHARES.length - 1;
  readonly #move: Move;

  constructor(move: Move) {
    this.#move = move;
  }

  /** Duration of the first stage in milliseconds. */
  get firstStageMs(): number {
    return this.#windowMs * FIRST_STAGE_FRACTION;
  }

  /** Returns the traffic share at `now`; it exceeds that of the stage while evidence lags behind the schedule. */
  shareAt(now: number, tries: number): number {
    const stage = this.stageAt(now, tries);
    const planned = this.#shareOf(stage);
    if (stage === 0) return planned;
    return Math.max(planned, Math.min(CATCH_UP_SHARE, this.#shareOf(this.#stageByTime(now))));
  }

  /** Returns the highest stage that both the elapsed time and the evidence allow. */
  stageAt(now: number, tries: number): number {
    return Math.max(0, Math.min(this.#stageByTime(now), this.#stageByTries(tries)));
  }

  /** Returns whether the last stage has lasted long enough to detect faults that appear late. */
  isConfirmable(now: number): boolean {
    return now >= this.#move.startedAt + this.#windowMs * CONFIRM_FRACTION;
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
    const rampMs = this.#windowMs * (LAST_STAGE_FRACTION - FIRST_STAGE_FRACTION);
    const stepMs = rampMs / (this.lastStage - 1);
    const steps = stepMs > 0 ? Math.floor((elapsed - this.firstStageMs) / stepMs) : this.lastStage;
    return Math.min(this.lastStage, 1 + steps);
  }

  #stageByTries(tries: number): number {
    if (tries < FIRST_STAGE_TRIES) return 0;
    return Math.min(this.lastStage, 1 + Math.floor((tries - FIRST_STAGE_TRIES) / TRIES_PER_STAGE));
  }
}
