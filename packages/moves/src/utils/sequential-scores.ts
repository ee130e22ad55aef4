import type { Evidence } from '../types/evidence.ts';
import type { Tally } from '../types/tally.ts';
import type { TestSeries } from '../types/test-series.ts';
import type { VersionPair } from '../types/version-pair.ts';
import { baseRate } from './base-rate.ts';
import { logLikelihoodRatio } from './log-likelihood-ratio.ts';
import { recentTally } from './recent-tally.ts';
import { subtractEvidence } from './subtract-evidence.ts';
import { testSeriesOf } from './test-series-of.ts';

const MAX_ALTERNATIVE = 0.97;

interface Score {
  readonly value: number;
  /** Recent tally of the old version. */
  readonly oldRecent: Tally;
  readonly series: TestSeries;
}

function nextScores(
  series: TestSeries,
  previous: ReadonlyMap<string, Score>,
): readonly [string, Score][] {
  return series.excesses.map((excess): [string, Score] => {
    const key = `${series.name} ${excess}`;
    const oldRecent = recentTally(previous.get(key)?.oldRecent, series.oldRecent);
    const base = baseRate(series.oldTotal, oldRecent, series.floor);
    const alternative = Math.min(MAX_ALTERNATIVE, base + excess);
    const increment = logLikelihoodRatio(series.newRecent, base, alternative);
    const value = Math.max(0, (previous.get(key)?.value ?? 0) + increment);
    return [key, { value, oldRecent, series }];
  });
}

/**
 * Cumulative-sum (CUSUM) tests of a new version against the old one. Each score is a log-likelihood ratio that is
 * clamped at zero, so that a good history does not mask a regression that appears late.
 */
export class SequentialScores {
  readonly #pair: VersionPair;
  readonly #scores: ReadonlyMap<string, Score>;
  readonly #lastEvidence: Evidence;

  constructor(
    pair: VersionPair,
    lastEvidence: Evidence = { cells: [] },
    scores: ReadonlyMap<string, Score> = new Map(),
  ) {
    this.#pair = pair;
    this.#lastEvidence = lastEvidence;
    this.#scores = scores;
  }

  /** The highest score with its test. */
  get highest(): Score | undefined {
    return [...this.#scores.values()].sort((a, b) => b.value - a.value)[0];
  }

  /** Returns the scores updated by the growth of `total` since the last call. */
  advance(total: Evidence): SequentialScores {
    const recent = subtractEvidence(total, this.#lastEvidence);
    if (recent.cells.every(({ tries }) => tries === 0)) return this;
    const series = testSeriesOf({ pair: this.#pair, recent, total });
    const scores = new Map([
      ...this.#scores,
      ...series.flatMap((item) => nextScores(item, this.#scores)),
    ]);
    return new SequentialScores(this.#pair, total, scores);
  }
}
