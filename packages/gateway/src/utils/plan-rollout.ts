import type { Verdict } from '@ragwortrudder/moves';

interface RolloutInputs {
  /** Elapsed part of the time that the operator allows, from 0. */
  readonly elapsed: number;
  readonly verdict: Pick<Verdict, 'state' | 'inDoubt' | 'tries' | 'reason'>;
}

interface RolloutPlan {
  readonly share: number;
  readonly decision?: 'complete' | 'roll-back';
  readonly reason: string;
}

interface Stage {
  readonly from: number;
  readonly share: number;
}

/** Requests that the target must have served before it gets more than the canary's share. */
const MIN_TRIES = 20;
const CANARY_SHARE = 0.08;
/** Share of a canary that gets too few requests for a verdict. */
const RAISED_CANARY_SHARE = 0.2;
const RAISED_FROM = 0.2;
const STAGES: readonly Stage[] = [
  { from: 0.75, share: 0.95 },
  { from: 0.65, share: 0.6 },
  { from: 0.55, share: 0.3 },
];
/** Part of the time after which the roll-out is decided; the rest is for finishing requests. */
const DECIDE_FROM = 0.85;

function shareAt({ elapsed, verdict }: RolloutInputs): number {
  if (verdict.inDoubt) return CANARY_SHARE;
  if (verdict.tries < MIN_TRIES) {
    return elapsed >= RAISED_FROM ? RAISED_CANARY_SHARE : CANARY_SHARE;
  }
  return STAGES.find(({ from }) => elapsed >= from)?.share ?? CANARY_SHARE;
}

/**
 * Plans a roll-out: a canary for half of the time, then more in steps, and a decision in time. Only a
 * version that is proved good is kept.
 */
export function planRollout(inputs: RolloutInputs): RolloutPlan {
  const { elapsed, verdict } = inputs;
  const { reason } = verdict;
  if (verdict.state === 'bad') return { share: 0, decision: 'roll-back', reason };
  if (elapsed < DECIDE_FROM) return { share: shareAt(inputs), reason };
  return verdict.state === 'good'
    ? { share: 1, decision: 'complete', reason }
    : { share: 0, decision: 'roll-back', reason: `not proved in time: ${reason}` };
}
