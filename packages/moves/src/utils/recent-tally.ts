import type { Tally } from '../types/tally.ts';

/** Trials that the tally of late holds at most, unless a single step brings more. */
const RECENT_TRIALS = 15;

/** Adds a step to the tally of late and lets older steps fade. */
export function recentTally(known: Tally | undefined, step: Tally): Tally {
  if (!known || step.trials >= RECENT_TRIALS) return step;
  const room = RECENT_TRIALS - step.trials;
  const weight = Math.min(1, known.trials > 0 ? room / known.trials : 0);
  return {
    trials: step.trials + known.trials * weight,
    events: step.events + known.events * weight,
  };
}
