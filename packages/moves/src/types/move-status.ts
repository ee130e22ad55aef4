import type { MoveWord } from './move-word.ts';
import type { SharePlan } from './share-plan.ts';
import type { Verdict } from './verdict.ts';

/** State of a move on one node. */
export interface MoveStatus {
  readonly moveId: string;
  /** State of the chart `version-move`. */
  readonly state: string;
  readonly plan: SharePlan;
  readonly verdict: Verdict;
  /** Word that waits to be written to the log. */
  readonly pendingWord: MoveWord | undefined;
  /** Word that the log holds. */
  readonly word: MoveWord | undefined;
}
