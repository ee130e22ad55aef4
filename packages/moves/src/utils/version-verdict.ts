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
const OPEN_SCORE = 5;
const MIN_TRIES = 20;
/** Part of the old version's requests above which a route or load band needs evidence of its own. */
const WEIGHTY_PART = 0.05;
const MIN_PART_TRIES = 10;
const FAILURE_FLOOR = 0.01;
const MAX_ALTERNATIVE = 0.97;
/** Excess failure rate that must be ruled out on each route and in each load band of a good version. */
const PART_EXCESS = 0.6;
const RULED_OUT_SCORE = 8;

interface VerdictInput {
  readonly pair: VersionPair;
  /** Evidence of both versions, joined from all nodes. */
  readonly evidence: Evidence;
  /** Scores kept by this node; without them the whole evidence counts as one look. */
  readonly scores?: SequentialScores;
  readonly options?: VerdictOptions;
}

interface Part {
  readonly name: string;
  readonly filter: (cell: EvidenceCell) => boolean;
}

type Filter = Part['filter'];

function tallyOf(cells: readonly EvidenceCell[], version: string, filter?: Filter): Tally {
  const chosen = cells.filter((cell) => cell.version === version && (filter?.(cell) ?? true));
  return {
    trials: chosen.reduce((sum, { tries }) => sum + tries, 0),
    events: chosen.reduce((sum, { failures }) => sum + failures, 0),
  };
}

/** Tells whether the whole evidence speaks against a failure rate that is higher by `excess`. */
function rulesOut(fresh: Tally, old: Tally, excess: number): boolean {
  const base = baseRate(old, old, FAILURE_FLOOR);
  const alternative = Math.min(MAX_ALTERNATIVE, base + excess);
  return logLikelihoodRatio(fresh, base, alternative) <= -RULED_OUT_SCORE;
}

/** Route or load band of some weight on which the evidence does not yet rule a bad version out. */
function unprovedPart(cells: readonly EvidenceCell[], pair: VersionPair): string | undefined {
  const routes = new Set(cells.map(({ route }) => route));
  const bands = new Set(cells.map(({ loadBand }) => loadBand));
  const parts: readonly Part[] = [
    ...[...routes].map((route): Part => ({
      name: `on route ${route}`,
      filter: (cell) => cell.route === route,
    })),
    ...[...bands].map((band): Part => ({
      name: `in load band ${band}`,
      filter: (cell) => cell.loadBand === band,
    })),
  ];
  const all = tallyOf(cells, pair.fromVersion);
  const unproved = parts.find(({ filter }) => {
    const old = tallyOf(cells, pair.fromVersion, filter);
    const fresh = tallyOf(cells, pair.toVersion, filter);
    if (old.trials < WEIGHTY_PART * all.trials) return false;
    return fresh.trials < MIN_PART_TRIES || !rulesOut(fresh, old, PART_EXCESS);
  });
  return unproved?.name;
}

/** Judges the new version of a move by the evidence of all nodes. */
export function versionVerdict({ pair, evidence, scores, options = {} }: VerdictInput): Verdict {
  const cells = evidence.cells.filter(({ service }) => service === pair.service);
  const fresh = tallyOf(cells, pair.toVersion);
  const counts = { tries: fresh.trials, failures: fresh.events };
  const highest = (scores ?? new SequentialScores(pair).advance(evidence)).highest;
  const score = highest?.value ?? 0;
  const route = highest?.series.route;
  const where = { ...counts, ...(route !== undefined && { route }) };
  if (score >= (options.badScore ?? BAD_SCORE)) {
    return { state: 'bad', reason: `too many ${highest?.series.name ?? ''}`, ...where };
  }
  if (score >= (options.openScore ?? OPEN_SCORE)) {
    const reason = `in doubt: ${highest?.series.name ?? ''}`;
    return { state: 'unproved', reason, inDoubt: true, ...where };
  }
  if (counts.tries < (options.minTries ?? MIN_TRIES)) {
    return { state: 'unproved', reason: 'too few requests', ...counts };
  }
  const part = unprovedPart(cells, pair);
  if (part !== undefined) {
    return { state: 'unproved', reason: `too few successes ${part}`, ...counts };
  }
  return { state: 'good', reason: 'no worse than the old version', ...counts };
}
