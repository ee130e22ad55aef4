import type { BadMark } from '../types/bad-mark.ts';
import type { Move } from '../types/move.ts';
import type { MoveDecision } from '../types/move-decision.ts';
import type { SharePlan } from '../types/share-plan.ts';
import type { Verdict } from '../types/verdict.ts';
import { StageSchedule } from './stage-schedule.ts';

const FIRST_STAGE_REQUESTS = 20;
const FIRST_STAGE_IN_FLIGHT = 1;
const IN_FLIGHT_PER_STAGE = 4;
/** Factor on the planned share after the first stage while the verdict is in doubt. */
const IN_DOUBT_FACTOR = 0.25;
const UNLIMITED = Number.MAX_SAFE_INTEGER;

interface ShareInput {
  readonly move: Move;
  /** Verdict on the combined evidence. */
  readonly verdict: Verdict;
  /** Marks by all nodes that the version must be rolled back. */
  readonly marks: readonly BadMark[];
  /** Decision recorded in the log, if any. */
  readonly decision?: MoveDecision | undefined;
  /** True when this node already found the version proved; only a bad verdict or a mark revokes that. */
  readonly isProved?: boolean;
  /** Wall-clock time in milliseconds. */
  readonly now: number;
}

function noTraffic(reason: string, due?: 'undone'): SharePlan {
  const plan = { share: 0, stage: 0, maxInFlight: 0, maxRequests: 0, reason };
  return due ? { ...plan, due } : plan;
}

function allTraffic(reason: string, stage: number): SharePlan {
  return { share: 1, stage, maxInFlight: UNLIMITED, maxRequests: UNLIMITED, reason };
}

/** Plans the traffic share of the new version of a move; nodes with the same input get the same plan. */
export function planShare(input: ShareInput): SharePlan {
  const { move, verdict, marks, decision, now } = input;
  const schedule = new StageSchedule(move);
  if (decision?.word === 'done') return allTraffic(decision.reason, schedule.lastStage);
  if (decision) return noTraffic(decision.reason);
  const [mark] = marks;
  if (mark) return noTraffic(mark.reason, 'undone');
  if (verdict.state === 'bad') return noTraffic(verdict.reason, 'undone');
  if (now < move.startedAt) return noTraffic('not started');
  const stage = schedule.stageAt(now, verdict.tries);
  const isLast = stage === schedule.lastStage;
  const isConfirmed =
    input.isProved === true || (isLast && verdict.state === 'good' && schedule.isConfirmable(now));
  if (!isConfirmed && now >= move.takeoverBy) {
    return noTraffic(`not proved by the deadline: ${verdict.reason}`, 'undone');
  }
  const planned = schedule.shareAt(now, verdict.tries);
  const plan = {
    share: verdict.inDoubt && stage > 0 ? planned * IN_DOUBT_FACTOR : planned,
    stage,
    maxInFlight: stage === 0 ? FIRST_STAGE_IN_FLIGHT : IN_FLIGHT_PER_STAGE * 2 ** stage,
    maxRequests: stage === 0 ? FIRST_STAGE_REQUESTS : UNLIMITED,
    reason: verdict.reason,
  };
  return isConfirmed ? { ...plan, due: 'done' } : plan;
}
