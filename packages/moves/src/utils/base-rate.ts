import type { Tally } from '../types/tally.ts';

/** Weight of the prior rate `floor`, in trials. */
const PRIOR_TRIALS = 20;
/** Weight of the overall rate as the prior of the recent rate, in trials. */
const RECENT_PRIOR_TRIALS = 2;
const MAX_RATE = 0.9;

/**
 * Returns the event rate expected of the old version: its overall rate plus one standard error, or its recent rate
 * if that is higher, so that a fault affecting both versions does not count against the new one.
 */
export function baseRate(total: Tally, recent: Tally, floor: number): number {
  const trials = total.trials + PRIOR_TRIALS;
  const mean = (total.events + floor * PRIOR_TRIALS) / trials;
  const standardError = Math.sqrt((mean * (1 - mean)) / trials);
  const recentRate =
    (recent.events + mean * RECENT_PRIOR_TRIALS) / (recent.trials + RECENT_PRIOR_TRIALS);
  return Math.min(
    MAX_RATE,
    Math.max(floor, total.trials > 0 ? mean + standardError : mean, recentRate),
  );
}
