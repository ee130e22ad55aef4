import type { FleetOptions } from '@ragwortrudder/standins';
import { replay } from '../node/replay.ts';
import { withFleet } from '../node/with-fleet.ts';
import type { Comparison } from '../types/comparison.ts';
import type { Experiment } from '../types/experiment.ts';
import type { ExperimentOptions } from '../types/experiment-options.ts';
import type { PlannedRequest } from '../types/planned-request.ts';
import type { ResultRow } from '../types/result-row.ts';
import { benchTenants } from '../utils/bench-tenants.ts';
import { planWorkload } from '../utils/plan-workload.ts';
import { modelRunValues } from '../utils/model-run-values.ts';
import { tenantKeys } from '../utils/tenant-keys.ts';

interface Variant {
  readonly name: string;
  readonly policy: string;
  readonly engine?: Readonly<Record<string, number>>;
}

const DURATION_MS = 24_000;
const SERVICES = [
  { service: 'quotes', count: 6 },
  { service: 'reconciliation', count: 3 },
];
const ENGINE = { tokenBudget: 32, stepMs: 16, prefillTokenMs: 0.5, cacheBlocks: 512 };
const PREFILL_RATE =
  (ENGINE.tokenBudget * 1000) / (ENGINE.stepMs + ENGINE.tokenBudget * ENGINE.prefillTokenMs);
const RATES = {
  ...{ quoteSessions: 2.6, reconciliations: 2.5, questions: 4 },
  ...{ stock: 0, reorders: 0, filings: 0 },
};
const HOURLY_PRICES = [1, 1.25, 1.5];
const RETRY_WINDOW_MS = 10_000;
const NEVER_MS = 3_600_000;
const STALENESS_MS = 5000;

/** Groups of variants; the variants of a group run concurrently on the same arrivals. */
const GROUPS: readonly (readonly Variant[])[] = [
  ['estimate', 'round-robin', 'least-loaded', 'prefix-hash'].map((policy) => ({
    name: policy,
    policy,
  })),
  [
    {
      name: 'estimate, no cache events',
      policy: 'estimate',
      engine: { cacheEventDelayMs: NEVER_MS },
    },
    {
      name: 'estimate, cache events 5 s late',
      policy: 'estimate',
      engine: { cacheEventDelayMs: STALENESS_MS },
    },
    {
      name: 'estimate, a third of cache events lost',
      policy: 'estimate',
      engine: { cacheEventLossRate: 1 / 3 },
    },
    { name: 'prefix-hash, again', policy: 'prefix-hash' },
    { name: 'round-robin, again', policy: 'round-robin' },
  ],
  ['estimate', 'round-robin', 'least-loaded', 'prefix-hash'].map((policy) => ({
    name: `${policy}, load 5 s old`,
    policy,
    engine: { loadLagMs: STALENESS_MS },
  })),
];

function fleetOptions({ policy, engine }: Variant, seed: number): FleetOptions {
  const keys = tenantKeys(Object.keys(benchTenants));
  const options = { ...ENGINE, ...engine };
  return {
    seed,
    tenants: [...keys].map(([tenant, key]) => ({ tenant, key })),
    settings: { runners: { policy } },
    runners: SERVICES.map(({ service, count }) => ({
      ...{ service, version: 'v1', kind: 'model', count, options },
    })),
  };
}

async function runVariant(
  variant: Variant,
  planned: readonly PlannedRequest[],
  seed: number,
): Promise<ResultRow> {
  const values = await withFleet(fleetOptions(variant, seed), async (fleet) => {
    const answers = await replay({
      planned,
      nodes: fleet.entries.map(({ address }) => address),
      keys: tenantKeys(Object.keys(benchTenants)),
      seed,
      patienceMs: RETRY_WINDOW_MS,
    });
    const stats = await fleet.engineStats();
    const perDomain = stats.length / HOURLY_PRICES.length;
    const pricePerHour = HOURLY_PRICES.reduce((sum, price) => sum + price * perDomain, 0);
    const common = { durationMs: DURATION_MS, pricePerHour, prefillRate: PREFILL_RATE };
    return modelRunValues({ answers, stats, ...common });
  });
  return { policy: variant.name, values };
}

async function run({ seed, log }: ExperimentOptions): Promise<{
  readonly seed: number;
  readonly rows: readonly ResultRow[];
}> {
  const planned = planWorkload({
    ...{ seed, durationMs: DURATION_MS, rates: RATES, tenants: benchTenants },
  });
  const rows: ResultRow[] = [];
  for (const group of GROUPS) {
    log(`${planned.length} requests to each of: ${group.map(({ name }) => name).join('; ')}`);
    rows.push(...(await Promise.all(group.map((variant) => runVariant(variant, planned, seed)))));
  }
  return { seed, rows };
}

const BASELINES = ['round-robin', 'least-loaded', 'prefix-hash'];
const COMPARED_VALUES: Comparison['values'] = {
  ...{ firstP50: 'lower', firstP95: 'lower', firstP99: 'lower', firstWithin: 'higher' },
  ...{ answersWithin: 'higher', costPer1000: 'lower', computed: 'lower' },
};

const comparisons: readonly Comparison[] = [
  ...[
    { policy: 'estimate', baselines: BASELINES },
    ...['no cache events', 'cache events 5 s late', 'a third of cache events lost'].map(
      (condition) => ({
        policy: `estimate, ${condition}`,
        baselines: ['prefix-hash, again', 'round-robin, again'],
      }),
    ),
    {
      policy: 'estimate, load 5 s old',
      baselines: BASELINES.map((name) => `${name}, load 5 s old`),
    },
  ].map((comparison) => ({ ...comparison, values: COMPARED_VALUES })),
];

/**
 * Compares routing policies for model engines, with current and with stale or missing information.
 */
export const routing: Experiment = {
  name: 'routing',
  comparisons,
  summary: 'routing to model engines: estimate against round robin, least loaded and prefix hash',
  run,
};
