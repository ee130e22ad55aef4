import { replay } from '../node/replay.ts';
import { withFleet } from '../node/with-fleet.ts';
import type { Experiment } from '../types/experiment.ts';
import type { ExperimentOptions } from '../types/experiment-options.ts';
import type { ResultRow } from '../types/result-row.ts';
import type { ResultTable } from '../types/result-table.ts';
import { benchTenants } from '../utils/bench-tenants.ts';
import { herdingValues } from '../utils/herding-values.ts';
import { planWorkload } from '../utils/plan-workload.ts';
import { tenantKeys } from '../utils/tenant-keys.ts';

const DURATION_MS = 24_000;
const RUNNERS = 6;
const RUNNER = { workMs: 300, maxRunning: 4, loadLagMs: 2000 };
const SLOW_RUNNER = 'stock-v1-1';
/** Additional time that an operation takes on the slow runner. */
const SLOW_DELAY_MS = 450;
const RATES = {
  ...{ quoteSessions: 0, reconciliations: 0, questions: 0 },
  ...{ stock: 42, reorders: 0, filings: 0 },
};
/** Row name and `runners.policy` setting of each policy. */
const POLICIES = [
  ['two-choices', 'estimate'],
  ['round-robin', 'round-robin'],
  ['least-loaded', 'least-loaded'],
] as const;

async function runPolicy(name: string, policy: string, seed: number): Promise<ResultRow> {
  const planned = planWorkload({
    ...{ seed, durationMs: DURATION_MS, rates: RATES, tenants: benchTenants },
  });
  const keys = tenantKeys(Object.keys(benchTenants));
  const options = {
    seed,
    tenants: [...keys].map(([tenant, key]) => ({ tenant, key })),
    settings: { runners: { policy } },
    runners: [
      { service: 'stock', version: 'v1', kind: 'application', count: RUNNERS, options: RUNNER },
    ] as const,
  };
  const answers = await withFleet(options, async (fleet) => {
    await fleet.applicationFault(SLOW_RUNNER, { mode: 'slow', delayMs: SLOW_DELAY_MS });
    const nodes = fleet.entries.map(({ address }) => address);
    return replay({ planned, nodes, keys, seed });
  });
  return { policy: name, values: herdingValues({ answers, slowRunner: SLOW_RUNNER }) };
}

async function run({ seed, log }: ExperimentOptions): Promise<ResultTable> {
  log('running two choices, round robin and least loaded concurrently');
  const rows = POLICIES.map(([name, policy]) => runPolicy(name, policy, seed));
  return { seed, rows: await Promise.all(rows) };
}

/**
 * Compares routing policies for application runners, one of them slow, with load reports 2 s old.
 */
export const applicationRouting: Experiment = {
  name: 'application-routing',
  summary: 'routing to application runners, one 2.5 times slower, with load reports 2 s old',
  comparisons: [
    {
      policy: 'two-choices',
      baselines: ['round-robin', 'least-loaded'],
      values: { p50: 'lower', p95: 'lower', p99: 'lower', herdLargest: 'lower' },
    },
  ],
  run,
};
