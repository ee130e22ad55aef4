import type { Tally } from '../types/tally.ts';

/** Logarithm of how much likelier a tally is at the event rate `alternative` than at `base`. */
export function logLikelihoodRatio(tally: Tally, base: number, alternative: number): number {
  const perEvent = Math.log(alternative / base);
  const perOther = Math.log((1 - alternative) / (1 - base));
  return tally.events * perEvent + (tally.trials - tally.events) * perOther;
}
