import type { Tally } from '../types/tally.ts';

/** Trials that the prior rate weighs. */
const PRIOR_TRIALS = 20;
/** Trials that the rate so far weighs against the rate of late. */
const RECENT_PRIOR_TRIALS = 2;
const MAX_RATE = 0.9;

/**
 * Event rate that the old version explains: its rate so far plus one standard error, or its rate of late when
 * that is higher, so that a cause shared by both versions does not count against the new one.
 */
export function baseRate(total: Tally, recent: Tally, floor: number): number {
  const trials = total.trials + PRIOR_TRIALS;
  const mean = (total.events + floor * PRIOR_TRIALS) / trials;
  const error = Math.sqrt((mean * (1 - mean)) / trials);
  const late = (recent.events + mean * RECENT_PRIOR_TRIALS) / (recent.trials + RECENT_PRIOR_TRIALS);
  return Math.min(MAX_RATE, Math.max(floor, total.trials > 0 ? mean + error : mean, late));
}
