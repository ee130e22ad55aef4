import type { MoveDecision } from './move-decision.ts';
import type { SharePlan } from './share-plan.ts';
import type { Verdict } from './verdict.ts';

/** State of a move on one node. */
export interface MoveStatus {
  readonly moveId: string;
  /** State in the state chart `version-move`. */
  readonly state: string;
  readonly plan: SharePlan;
  readonly verdict: Verdict;
  /** Decision that is not yet in the log. */
  readonly pendingWord: MoveDecision | undefined;
  /** Decision recorded in the log. */
  readonly word: MoveDecision | undefined;
}
