import type { Fleet, FleetOptions } from '@ragwortrudder/standins';
import { replay } from '../node/replay.ts';
import { withFleet } from '../node/with-fleet.ts';
import type { Experiment } from '../types/experiment.ts';
import type { ExperimentOptions } from '../types/experiment-options.ts';
import type { ResultRow } from '../types/result-row.ts';
import type { ResultTable } from '../types/result-table.ts';
import { overloadValues } from '../utils/overload-values.ts';
import { planOverload } from '../utils/plan-overload.ts';
import { tenantKeys } from '../utils/tenant-keys.ts';

const DURATION_MS = 12_000;
const DEADLINE_MS = 3000;
const BATCH_DEADLINE_MS = 45_000;
const LOAD_FACTORS: readonly number[] = [0.5, 1, 2, 4];
const ENGINES = 3;
const ENGINE = { tokenBudget: 32, stepMs: 16, prefillTokenMs: 0.5 };
const PROMPT_TOKENS = 200;
const MAX_TOKENS = 12;
const PREFILL_RATE =
  (ENGINE.tokenBudget * 1000) / (ENGINE.stepMs + ENGINE.tokenBudget * ENGINE.prefillTokenMs);
/** Requests per second that the engines can answer. */
const CAPACITY = (ENGINES * PREFILL_RATE) / (PROMPT_TOKENS + MAX_TOKENS);
const QUIET_RATE = 2;
const BATCH_RATE = 1;
const TENANTS: readonly string[] = ['flood', 'quiet', 'batch'];

function fleetOptions(seed: number): FleetOptions {
  return {
    seed,
    tenants: [...tenantKeys(TENANTS)].map(([tenant, key]) => ({ tenant, key })),
    runners: [{ service: 'quotes', version: 'v1', kind: 'model', count: ENGINES, options: ENGINE }],
  };
}

async function runPhase(
  fleet: Fleet,
  seed: number,
  policy: string,
  rates: Readonly<Record<string, number>>,
): Promise<ResultRow> {
  const planned = planOverload({
    ...{ seed, rates, durationMs: DURATION_MS, promptTokens: PROMPT_TOKENS },
    ...{ maxTokens: MAX_TOKENS, deadlineMs: DEADLINE_MS, batchDeadlineMs: BATCH_DEADLINE_MS },
  });
  const nodes = fleet.entries.map(({ address }) => address);
  const common = { nodes, keys: tenantKeys(TENANTS), seed };
  const isBatch = ({ tenant }: { readonly tenant: string }): boolean => tenant === 'batch';
  const [answers, batch] = await Promise.all([
    replay({ ...common, planned: planned.filter((request) => !isBatch(request)) }),
    replay({ ...common, planned: planned.filter(isBatch), patienceMs: BATCH_DEADLINE_MS }),
  ]);
  const values = overloadValues({
    answers: [...answers, ...batch],
    ...{ deadlineMs: DEADLINE_MS, durationMs: DURATION_MS },
  });
  return { policy, values };
}

async function run({ seed, log }: ExperimentOptions): Promise<ResultTable> {
  return withFleet(fleetOptions(seed), async (fleet) => {
    const rows = [await runPhase(fleet, seed, 'quiet tenant alone', { quiet: QUIET_RATE })];
    for (const [index, factor] of LOAD_FACTORS.entries()) {
      log(`${factor} times ${CAPACITY.toFixed(1)} requests per second`);
      const flood = Math.max(0, factor * CAPACITY - QUIET_RATE - BATCH_RATE);
      const rates = { quiet: QUIET_RATE, batch: BATCH_RATE, flood };
      rows.push(await runPhase(fleet, seed + (index + 1) * 1000, `${factor} times`, rates));
    }
    return { seed, rows };
  });
}

/** Measures goodput, fairness and refusals at half to four times the capacity. */
export const admission: Experiment = {
  name: 'admission',
  summary: 'admission under overload, one tenant flooding, against the load at capacity',
  comparisons: [
    { policy: '2 times', baselines: ['1 times'], values: { goodput: 'higher', quietP95: 'lower' } },
    { policy: '4 times', baselines: ['1 times'], values: { goodput: 'higher', quietP95: 'lower' } },
    {
      policy: '4 times',
      baselines: ['quiet tenant alone'],
      values: { quietP50: 'lower', quietP95: 'lower' },
    },
  ],
  run,
};
