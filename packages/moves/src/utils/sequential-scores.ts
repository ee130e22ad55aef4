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
  /** Old version's tally of late. */
  readonly oldRecent: Tally;
  readonly series: TestSeries;
}

function scoresOf(
  series: TestSeries,
  known: ReadonlyMap<string, Score>,
): readonly [string, Score][] {
  return series.excesses.map((excess): [string, Score] => {
    const key = `${series.name} ${excess}`;
    const oldRecent = recentTally(known.get(key)?.oldRecent, series.oldRecent);
    const base = baseRate(series.oldTotal, oldRecent, series.floor);
    const alternative = Math.min(MAX_ALTERNATIVE, base + excess);
    const gain = logLikelihoodRatio(series.fresh, base, alternative);
    const value = Math.max(0, (known.get(key)?.value ?? 0) + gain);
    return [key, { value, oldRecent, series }];
  });
}

/**
 * Cumulative-sum tests of a new version against the old one. Each score is the logarithm of a likelihood ratio
 * that starts over at zero, so that badness that shows late is not outweighed by a good past.
 */
export class SequentialScores {
  readonly #pair: VersionPair;
  readonly #scores: ReadonlyMap<string, Score>;
  readonly #seen: Evidence;

  constructor(
    pair: VersionPair,
    seen: Evidence = { cells: [] },
    scores: ReadonlyMap<string, Score> = new Map(),
  ) {
    this.#pair = pair;
    this.#seen = seen;
    this.#scores = scores;
  }

  /** The highest score and its test. */
  get highest(): Score | undefined {
    return [...this.#scores.values()].sort((a, b) => b.value - a.value)[0];
  }

  /** Scores after the growth of `total` since the last call. */
  advance(total: Evidence): SequentialScores {
    const recent = subtractEvidence(total, this.#seen);
    if (recent.cells.every(({ tries }) => tries === 0)) return this;
    const series = testSeriesOf({ pair: this.#pair, recent, total });
    const scores = new Map([
      ...this.#scores,
      ...series.flatMap((item) => scoresOf(item, this.#scores)),
    ]);
    return new SequentialScores(this.#pair, total, scores);
  }
}
