import type { Random } from '@ragwortrudder/core';
import type { Move } from '../types/move.ts';
import type { SharePlan } from '../types/share-plan.ts';
import { StageSchedule } from './stage-schedule.ts';

/** Minimum probability of sending a first-stage request when the traffic is too low for the planned share. */
const TRICKLE_SHARE = 0.2;

interface ChoiceInput {
  readonly move: Move;
  readonly plan: SharePlan;
  readonly random: Random;
  /** Number of concurrent requests from this node to the new version. */
  readonly inFlight: number;
  /** Number of requests of the service that this node has routed since the move started. */
  readonly routed: number;
  /** Number of requests to the new version that this node has started. */
  readonly started: number;
  /** Maximum number of requests to the new version that this node may start in the first stage. */
  readonly allowance: number;
  /** Wall-clock time in milliseconds. */
  readonly now: number;
}

/** Returns whether the planned share of this node's traffic is too small to use its first-stage allowance. */
function isLowTraffic({ move, plan, allowance, routed, now }: ChoiceInput): boolean {
  const elapsedMs = now - move.startedAt;
  const expected = (routed * new StageSchedule(move).firstStageMs) / Math.max(1, elapsedMs);
  return expected * plan.share < allowance;
}

/** Returns whether the next first-stage request is behind an even distribution of the allowance over the stage. */
function isRequestOverdue({ move, allowance, started, now }: ChoiceInput): boolean {
  const intervalMs = new StageSchedule(move).firstStageMs / (allowance + 1);
  return now - move.startedAt >= (started + 1) * intervalMs;
}

/** Chooses the version that serves one request. */
export function chooseVersion(choice: ChoiceInput): string {
  const { move, plan, random, inFlight, started, allowance } = choice;
  if (plan.share >= 1) return move.toVersion;
  if (plan.share <= 0 || inFlight >= plan.maxInFlight) return move.fromVersion;
  if (plan.stage === 0 && started >= allowance) return move.fromVersion;
  const usesTrickle = plan.stage === 0 && isLowTraffic(choice) && isRequestOverdue(choice);
  const share = usesTrickle ? Math.max(TRICKLE_SHARE, plan.share) : plan.share;
  return random.next() < share ? move.toVersion : move.fromVersion;
}
