import type { Tally } from '../types/tally.ts';

/** Maximum number of trials in a recent tally, unless a single increment has more. */
const MAX_RECENT_TRIALS = 15;

/** Adds an increment to a recent tally and scales older trials down to keep it within the maximum. */
export function recentTally(previous: Tally | undefined, increment: Tally): Tally {
  if (!previous || increment.trials >= MAX_RECENT_TRIALS) return increment;
  const retainedTrials = MAX_RECENT_TRIALS - increment.trials;
  const weight = Math.min(1, previous.trials > 0 ? retainedTrials / previous.trials : 0);
  return {
    trials: increment.trials + previous.trials * weight,
    events: increment.events + previous.events * weight,
  };
}
