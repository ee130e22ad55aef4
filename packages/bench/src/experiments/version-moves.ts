import type { Experiment } from '../types/experiment.ts';
import type { ExperimentOptions } from '../types/experiment-options.ts';
import type { ResultRow } from '../types/result-row.ts';
import type { ResultTable } from '../types/result-table.ts';
import type { VersionCase } from '../types/version-case.ts';
import { versionKinds } from './version-moves-kinds.ts';
import { VersionMovesRun } from './version-moves-run.ts';

const CONCURRENT_FLEETS = 5;
const KINDS_PER_FLEET = 1;
const ROUTE_CASES = [
  { traffic: 'busy', deadline: 'early', deadlineMs: 25_000, rate: 12 },
  { traffic: 'busy', deadline: 'late', deadlineMs: 50_000, rate: 12 },
  { traffic: 'quiet', deadline: 'early', deadlineMs: 40_000, rate: 4 },
  { traffic: 'quiet', deadline: 'late', deadlineMs: 65_000, rate: 4 },
] as const;
const DISTURBED_KINDS = ['good', 'fails half', 'fails late', 'slow x3'];

type Kind = (typeof versionKinds)[number];

function caseOf(kind: Kind, route: (typeof ROUTE_CASES)[number]): VersionCase {
  const label = `${kind.name} ${route.traffic} ${route.deadline}`;
  return { ...route, kind, service: label.replaceAll(/[^a-z0-9]+/g, '-') };
}

function* createRuns(seed: number): Generator<VersionMovesRun> {
  for (let first = 0; first < versionKinds.length; first += KINDS_PER_FLEET) {
    const kinds = versionKinds.slice(first, first + KINDS_PER_FLEET);
    const cases = kinds.flatMap((kind) => ROUTE_CASES.map((route) => caseOf(kind, route)));
    yield new VersionMovesRun({ cases, seed });
  }
  const disturbed = versionKinds.filter(({ name }) => DISTURBED_KINDS.includes(name));
  const cases = disturbed.map((kind) => caseOf(kind, ROUTE_CASES[1]));
  yield new VersionMovesRun({ cases, seed, disturbance: 'log outage' });
  yield new VersionMovesRun({ cases, seed, disturbance: 'cut' });
}

async function run({ seed, log }: ExperimentOptions): Promise<ResultTable> {
  const fleets = [...createRuns(seed)];
  const rows: ResultRow[] = [];
  for (let first = 0; first < fleets.length; first += CONCURRENT_FLEETS) {
    log(`fleets ${first + 1} to ${first + CONCURRENT_FLEETS} of ${fleets.length}`);
    const group = fleets.slice(first, first + CONCURRENT_FLEETS);
    rows.push(...(await Promise.all(group.map((fleet) => fleet.run()))).flat());
  }
  return { seed, rows };
}

/** Compares rollouts of good and bad versions with an immediate switch and with a fixed canary. */
export const versionMoves: Experiment = {
  name: 'version-moves',
  summary: 'moves to good and bad versions with a switch at once and a canary of 10%',
  run,
};
