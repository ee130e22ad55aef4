import type { Evidence } from '../types/evidence.ts';
import type { Verdict } from '../types/verdict.ts';
import type { VerdictOptions } from '../types/verdict-options.ts';
import type { VersionPair } from '../types/version-pair.ts';
import { SequentialScores } from './sequential-scores.ts';

const BAD_SCORE = Math.log(1_000_000);
const OPEN_SCORE = 3;
const MIN_TRIES = 20;
/** Part of the old version's requests above which a route needs evidence of its own. */
const ROUTE_PART = 0.05;
const MIN_ROUTE_TRIES = 5;

interface VerdictInput {
  readonly pair: VersionPair;
  /** Evidence of both versions, joined from all nodes. */
  readonly evidence: Evidence;
  /** Scores kept by this node; without them the whole evidence counts as one look. */
  readonly scores?: SequentialScores;
  readonly options?: VerdictOptions;
}

function triesByRoute(
  evidence: Evidence,
  service: string,
  version: string,
): ReadonlyMap<string, number> {
  const tries = new Map<string, number>();
  for (const cell of evidence.cells) {
    if (cell.service !== service || cell.version !== version) continue;
    tries.set(cell.route, (tries.get(cell.route) ?? 0) + cell.tries);
  }
  return tries;
}

function total(tries: ReadonlyMap<string, number>): number {
  return [...tries.values()].reduce((sum, count) => sum + count, 0);
}

/** Route of some weight on which the new version has too little evidence. */
function unprovedRoute(
  oldTries: ReadonlyMap<string, number>,
  newTries: ReadonlyMap<string, number>,
): string | undefined {
  const weighty = [...oldTries].filter(([, count]) => count >= ROUTE_PART * total(oldTries));
  return weighty.find(([route]) => (newTries.get(route) ?? 0) < MIN_ROUTE_TRIES)?.[0];
}

/** Judges the new version of a move by the evidence of all nodes. */
export function versionVerdict({ pair, evidence, scores, options = {} }: VerdictInput): Verdict {
  const { service, fromVersion, toVersion } = pair;
  const newTries = triesByRoute(evidence, service, toVersion);
  const failures = evidence.cells
    .filter((cell) => cell.service === service && cell.version === toVersion)
    .reduce((sum, cell) => sum + cell.failures, 0);
  const counts = { tries: total(newTries), failures };
  const highest = (scores ?? new SequentialScores(pair).advance(evidence)).highest;
  const score = highest?.value ?? 0;
  const route = highest?.series.route;
  const where = { ...counts, ...(route !== undefined && { route }) };
  if (score >= (options.badScore ?? BAD_SCORE)) {
    return { state: 'bad', reason: `too many ${highest?.series.name ?? ''}`, ...where };
  }
  if (counts.tries < (options.minTries ?? MIN_TRIES)) {
    return { state: 'unproved', reason: 'too few requests', ...counts };
  }
  if (score >= (options.openScore ?? OPEN_SCORE)) {
    return { state: 'unproved', reason: `in doubt: ${highest?.series.name ?? ''}`, ...where };
  }
  const missing = unprovedRoute(triesByRoute(evidence, service, fromVersion), newTries);
  if (missing !== undefined) {
    return { state: 'unproved', reason: 'too few requests on a route', route: missing, ...counts };
  }
  return { state: 'good', reason: 'no worse than the old version', ...counts };
}
