import type { Evidence } from '../types/evidence.ts';
import type { EvidenceCell } from '../types/evidence-cell.ts';
import type { Tally } from '../types/tally.ts';
import type { TestSeries } from '../types/test-series.ts';
import type { VersionPair } from '../types/version-pair.ts';
import { LATENCY_RATIO_BOUNDS } from './latency-ratio-bounds.ts';

const FAILURE_FLOOR = 0.01;
const FAILURE_EXCESSES = [0.05, 0.25, 0.6];
const SLOW_FLOOR = 0.05;
const SLOW_EXCESSES = [0.2, 0.5];
const SLOWER_EXCESSES = [0.5];
/** Maximum fraction of the old version's requests above the bound for slow requests. */
const MAX_SLOW_FRACTION = 0.1;
/** Maximum fraction of the old version's requests above the bound for the slowest quarter. */
const MAX_SLOWER_FRACTION = 0.25;
const MIN_LATENCIES = 20;
const MIN_SLOWER_LATENCIES = 50;
const DEFAULT_SLOW_INDEX = LATENCY_RATIO_BOUNDS.indexOf(2);

interface SeriesInput {
  readonly pair: VersionPair;
  /** Growth of the evidence since the last evaluation. */
  readonly recent: Evidence;
  /** Total evidence. */
  readonly total: Evidence;
}

type Filter = (cell: EvidenceCell) => boolean;

function cellsOf(evidence: Evidence, service: string, version: string): readonly EvidenceCell[] {
  return evidence.cells.filter((cell) => cell.service === service && cell.version === version);
}

function failuresOf(cells: readonly EvidenceCell[]): Tally {
  return {
    trials: cells.reduce((sum, { tries }) => sum + tries, 0),
    events: cells.reduce((sum, { failures }) => sum + failures, 0),
  };
}

function latenciesAbove(cells: readonly EvidenceCell[], index: number): Tally {
  const counts = cells.flatMap(({ latencyBuckets }) =>
    latencyBuckets.map((count, bucket) => ({ count, isSlow: bucket > index })),
  );
  return {
    trials: counts.reduce((sum, { count }) => sum + count, 0),
    events: counts.reduce((sum, { count, isSlow }) => sum + (isSlow ? count : 0), 0),
  };
}

/** Returns the index of the lowest bound that at most `maxFraction` of the requests exceed. */
function boundIndex(
  cells: readonly EvidenceCell[],
  maxFraction: number,
  minLatencies: number,
): number | undefined {
  if (latenciesAbove(cells, 0).trials < minLatencies) return undefined;
  const index = LATENCY_RATIO_BOUNDS.findIndex((_, bound) => {
    const { trials, events } = latenciesAbove(cells, bound);
    return events <= maxFraction * trials;
  });
  return index === -1 ? LATENCY_RATIO_BOUNDS.length : index;
}

/** Returns the index of the bound above which a request counts as slow, one step above the bound of the old version. */
function slowIndex(cells: readonly EvidenceCell[]): number | undefined {
  const index = boundIndex(cells, MAX_SLOW_FRACTION, MIN_LATENCIES);
  return index === undefined ? undefined : Math.min(index + 1, LATENCY_RATIO_BOUNDS.length);
}

/** Builds the tests: failures overall, by route and by load band; slow requests by route and load band. */
export function testSeriesOf({ pair, recent, total }: SeriesInput): readonly TestSeries[] {
  const { service, fromVersion, toVersion } = pair;
  const newRecent = cellsOf(recent, service, toVersion);
  const oldRecent = cellsOf(recent, service, fromVersion);
  const oldTotal = cellsOf(total, service, fromVersion);
  const failures = (name: string, filter: Filter): TestSeries => ({
    name: `failures${name}`,
    floor: FAILURE_FLOOR,
    excesses: FAILURE_EXCESSES,
    newRecent: failuresOf(newRecent.filter(filter)),
    oldRecent: failuresOf(oldRecent.filter(filter)),
    oldTotal: failuresOf(oldTotal.filter(filter)),
  });
  const slow = (route: string, band: number): TestSeries => {
    const filter: Filter = (cell) => cell.route === route && cell.loadBand === band;
    const index = slowIndex(oldTotal.filter(filter)) ?? slowIndex(oldTotal) ?? DEFAULT_SLOW_INDEX;
    return {
      name: `slow requests on route ${route} in load band ${band}`,
      route,
      floor: SLOW_FLOOR,
      excesses: SLOW_EXCESSES,
      newRecent: latenciesAbove(newRecent.filter(filter), index),
      oldRecent: latenciesAbove(oldRecent.filter(filter), index),
      oldTotal: latenciesAbove(oldTotal.filter(filter), index),
    };
  };
  /** Detects a version that is slower overall, even if the old version's latencies vary widely. */
  const slower = (route: string, band: number): readonly TestSeries[] => {
    const filter: Filter = (cell) => cell.route === route && cell.loadBand === band;
    const index = boundIndex(oldTotal.filter(filter), MAX_SLOWER_FRACTION, MIN_SLOWER_LATENCIES);
    if (index === undefined) return [];
    return [
      {
        name: `requests slower than three quarters of the old version's on route ${route} in load band ${band}`,
        route,
        floor: SLOW_FLOOR,
        excesses: SLOWER_EXCESSES,
        newRecent: latenciesAbove(newRecent.filter(filter), index),
        oldRecent: latenciesAbove(oldRecent.filter(filter), index),
        oldTotal: latenciesAbove(oldTotal.filter(filter), index),
      },
    ];
  };
  const routes = [...new Set(newRecent.map(({ route }) => route))].sort();
  const bands = [...new Set(newRecent.map((cell) => cell.loadBand))].sort();
  return [
    failures('', () => true),
    ...routes.map((route) => ({
      ...failures(` on route ${route}`, (cell) => cell.route === route),
      route,
    })),
    ...bands.map((band) => failures(` in load band ${band}`, (cell) => cell.loadBand === band)),
    ...routes.flatMap((route) => bands.map((band) => slow(route, band))),
    ...routes.flatMap((route) => bands.flatMap((band) => slower(route, band))),
  ];
}
