import type { Random } from '@ragwortrudder/core';
import type { Move } from '../types/move.ts';
import type { SharePlan } from '../types/share-plan.ts';
import { StageSchedule } from './stage-schedule.ts';

/** Share at which a request of the first stage is sent when the service is too quiet for the planned share. */
const TRICKLE_SHARE = 0.2;

interface Choice {
  readonly move: Move;
  readonly plan: SharePlan;
  readonly random: Random;
  /** Requests to the new version that this node has in flight. */
  readonly inFlight: number;
  /** Requests of the service that this node chose a version for since the move started. */
  readonly seen: number;
  /** Requests to the new version that this node ever started. */
  readonly started: number;
  /** Requests that this node may start in the first stage. */
  readonly allowance: number;
  /** Wall-clock time in milliseconds. */
  readonly now: number;
}

/** Tells whether the planned share of this node's requests is too few for its part of the first stage. */
function isQuiet({ move, plan, allowance, seen, now }: Choice): boolean {
  const elapsedMs = now - move.startedAt;
  const expected = (seen * new StageSchedule(move).firstStageMs) / Math.max(1, elapsedMs);
  return expected * plan.share < allowance;
}

/** The part of the first stage in which this node had time for one more request has passed without it. */
function isOverdue({ move, allowance, started, now }: Choice): boolean {
  const slotMs = new StageSchedule(move).firstStageMs / (allowance + 1);
  return now - move.startedAt >= (started + 1) * slotMs;
}

/** Chooses the version for one request. */
export function chooseVersion(choice: Choice): string {
  const { move, plan, random, inFlight, started, allowance } = choice;
  if (plan.share >= 1) return move.toVersion;
  if (plan.share <= 0 || inFlight >= plan.maxInFlight) return move.fromVersion;
  if (plan.stage === 0 && started >= allowance) return move.fromVersion;
  const isTrickle = plan.stage === 0 && isQuiet(choice) && isOverdue(choice);
  const share = isTrickle ? Math.max(TRICKLE_SHARE, plan.share) : plan.share;
  return random.next() < share ? move.toVersion : move.fromVersion;
}
