import type { Tally } from '../types/tally.ts';

/** Returns the log-likelihood ratio of a tally for the event rate `alternative` against `base`. */
export function logLikelihoodRatio(tally: Tally, base: number, alternative: number): number {
  const perEvent = Math.log(alternative / base);
  const perOther = Math.log((1 - alternative) / (1 - base));
  return tally.events * perEvent + (tally.trials - tally.events) * perOther;
}
