import type { BadMark } from '../types/bad-mark.ts';
import type { Move } from '../types/move.ts';
import type { MoveWord } from '../types/move-word.ts';
import type { SharePlan } from '../types/share-plan.ts';
import type { Verdict } from '../types/verdict.ts';
import { StageSchedule } from './stage-schedule.ts';

const FIRST_STAGE_REQUESTS = 20;
const FIRST_STAGE_IN_FLIGHT = 1;
const IN_FLIGHT_PER_STAGE = 4;
/** Part of the planned share that a version in doubt keeps after the first stage. */
const DOUBT_PART = 0.25;
const UNLIMITED = Number.MAX_SAFE_INTEGER;

interface ShareInput {
  readonly move: Move;
  /** Judgement of the joined evidence. */
  readonly verdict: Verdict;
  /** Statements of all nodes that the version is to be taken back. */
  readonly marks: readonly BadMark[];
  /** Word of the log, when there is one. */
  readonly word?: MoveWord | undefined;
  /** True when this node already saw the version proved; only badness ends that. */
  readonly proved?: boolean;
  /** Wall-clock time in milliseconds. */
  readonly now: number;
}

function none(reason: string, due?: 'undone'): SharePlan {
  const plan = { share: 0, stage: 0, maxInFlight: 0, maxRequests: 0, reason };
  return due ? { ...plan, due } : plan;
}

function whole(reason: string, stage: number): SharePlan {
  return { share: 1, stage, maxInFlight: UNLIMITED, maxRequests: UNLIMITED, reason };
}

/** Part of the traffic for the new version of a move: the same on every node that knows the same. */
export function shareOf(input: ShareInput): SharePlan {
  const { move, verdict, marks, word, now } = input;
  const schedule = new StageSchedule(move);
  if (word?.word === 'done') return whole(word.reason, schedule.lastStage);
  if (word) return none(word.reason);
  const [mark] = marks;
  if (mark) return none(mark.reason, 'undone');
  if (verdict.state === 'bad') return none(verdict.reason, 'undone');
  if (now < move.startedAt) return none('not started');
  const stage = schedule.stageAt(now, verdict.tries);
  const isLast = stage === schedule.lastStage;
  const isProved =
    input.proved === true || (isLast && verdict.state === 'good' && schedule.isConfirmable(now));
  if (!isProved && now >= move.takeoverBy) {
    return none(`not proved by the deadline: ${verdict.reason}`, 'undone');
  }
  const planned = schedule.shareAt(now, verdict.tries);
  const plan = {
    share: verdict.inDoubt && stage > 0 ? planned * DOUBT_PART : planned,
    stage,
    maxInFlight: stage === 0 ? FIRST_STAGE_IN_FLIGHT : IN_FLIGHT_PER_STAGE * 2 ** stage,
    maxRequests: stage === 0 ? FIRST_STAGE_REQUESTS : UNLIMITED,
    reason: verdict.reason,
  };
  return isProved ? { ...plan, due: 'done' } : plan;
}
