import type { Evidence } from '../types/evidence.ts';
import type { EvidenceCell } from '../types/evidence-cell.ts';
import type { Tally } from '../types/tally.ts';
import type { Verdict } from '../types/verdict.ts';
import type { VerdictOptions } from '../types/verdict-options.ts';
import type { VersionPair } from '../types/version-pair.ts';
import { baseRate } from './base-rate.ts';
import { logLikelihoodRatio } from './log-likelihood-ratio.ts';
import { SequentialScores } from './sequential-scores.ts';

const BAD_SCORE = Math.log(1_000_000);
const IN_DOUBT_SCORE = 5;
const MIN_TRIES = 20;
/** Fraction of the old version's requests from which a route or load band needs evidence of its own. */
const MIN_SEGMENT_FRACTION = 0.05;
const MIN_SEGMENT_TRIES = 10;
const FAILURE_FLOOR = 0.01;
const MAX_ALTERNATIVE = 0.97;
/** Increase in the failure rate that must be ruled out on each route and in each load band for the verdict `good`. */
const SEGMENT_EXCESS = 0.6;
const RULED_OUT_SCORE = 8;

interface VerdictInput {
  readonly pair: VersionPair;
  /** Evidence of both versions, summed over all nodes. */
  readonly evidence: Evidence;
  /** Scores accumulated by this node; without them, the total evidence is tested in a single step. */
  readonly scores?: SequentialScores;
  readonly options?: VerdictOptions;
}

interface Segment {
  readonly name: string;
  readonly filter: (cell: EvidenceCell) => boolean;
}

type Filter = Segment['filter'];

function tallyOf(cells: readonly EvidenceCell[], version: string, filter?: Filter): Tally {
  const matching = cells.filter((cell) => cell.version === version && (filter?.(cell) ?? true));
  return {
    trials: matching.reduce((sum, { tries }) => sum + tries, 0),
    events: matching.reduce((sum, { failures }) => sum + failures, 0),
  };
}

/** Returns whether the total evidence rules out a failure rate that is higher by `excess`. */
function rulesOut(newTally: Tally, oldTally: Tally, excess: number): boolean {
  const base = baseRate(oldTally, oldTally, FAILURE_FLOOR);
  const alternative = Math.min(MAX_ALTERNATIVE, base + excess);
  return logLikelihoodRatio(newTally, base, alternative) <= -RULED_OUT_SCORE;
}

/** Returns a significant route or load band for which the evidence does not yet rule out a bad version. */
function unprovedSegment(cells: readonly EvidenceCell[], pair: VersionPair): string | undefined {
  const routes = new Set(cells.map(({ route }) => route));
  const bands = new Set(cells.map(({ loadBand }) => loadBand));
  const segments: readonly Segment[] = [
    ...[...routes].map((route): Segment => ({
      name: `on route ${route}`,
      filter: (cell) => cell.route === route,
    })),
    ...[...bands].map((band): Segment => ({
      name: `in load band ${band}`,
      filter: (cell) => cell.loadBand === band,
    })),
  ];
  const all = tallyOf(cells, pair.fromVersion);
  const unproved = segments.find(({ filter }) => {
    const oldTally = tallyOf(cells, pair.fromVersion, filter);
    const newTally = tallyOf(cells, pair.toVersion, filter);
    if (oldTally.trials < MIN_SEGMENT_FRACTION * all.trials) return false;
    return newTally.trials < MIN_SEGMENT_TRIES || !rulesOut(newTally, oldTally, SEGMENT_EXCESS);
  });
  return unproved?.name;
}

/** Evaluates the new version of a move on the evidence of all nodes. */
export function versionVerdict({ pair, evidence, scores, options = {} }: VerdictInput): Verdict {
  const cells = evidence.cells.filter(({ service }) => service === pair.service);
  const newTally = tallyOf(cells, pair.toVersion);
  const counts = { tries: newTally.trials, failures: newTally.events };
  const highest = (scores ?? new SequentialScores(pair).advance(evidence)).highest;
  const score = highest?.value ?? 0;
  const route = highest?.series.route;
  const details = { ...counts, ...(route !== undefined && { route }) };
  if (score >= (options.badScore ?? BAD_SCORE)) {
    return { state: 'bad', reason: `too many ${highest?.series.name ?? ''}`, ...details };
  }
  if (score >= (options.inDoubtScore ?? IN_DOUBT_SCORE)) {
    const reason = `in doubt: ${highest?.series.name ?? ''}`;
    return { state: 'unproved', reason, inDoubt: true, ...details };
  }
  if (counts.tries < (options.minTries ?? MIN_TRIES)) {
    return { state: 'unproved', reason: 'too few requests', ...counts };
  }
  const segment = unprovedSegment(cells, pair);
  if (segment !== undefined) {
    return { state: 'unproved', reason: `too few successes ${segment}`, ...counts };
  }
  return { state: 'good', reason: 'no worse than the old version', ...counts };
}
