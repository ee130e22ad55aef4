import { setTimeout as sleep } from 'node:timers/promises';
import type { Fleet, FleetOptions } from '@ragwortrudder/standins';
import { sumNodeCounter } from '../node/sum-node-counter.ts';
import { replay } from '../node/replay.ts';
import { withFleet } from '../node/with-fleet.ts';
import type { Experiment } from '../types/experiment.ts';
import type { ExperimentOptions } from '../types/experiment-options.ts';
import type { ResultRow } from '../types/result-row.ts';
import type { ResultTable } from '../types/result-table.ts';
import { benchTenants } from '../utils/bench-tenants.ts';
import { planWorkload } from '../utils/plan-workload.ts';
import { recoveryValues } from '../utils/recovery-values.ts';
import { tenantKeys } from '../utils/tenant-keys.ts';

type FaultKind = 'fail' | 'slow' | 'none';

const FAULT_FROM_MS = 8000;
const FAULT_TO_MS = 18_000;
const DURATION_MS = 30_000;
const SLOW_FACTOR = 8;
const SLOW_DELAY_MS = 400;
const RUNNERS: FleetOptions['runners'] = [
  { service: 'quotes', version: 'v1', kind: 'model', count: 6 },
  { service: 'stock', version: 'v1', kind: 'application', count: 3 },
  { service: 'orders', version: 'v1', kind: 'application', count: 3 },
];
const RATES = {
  ...{ quoteSessions: 1.2, reconciliations: 0, questions: 0 },
  ...{ stock: 10, reorders: 4, filings: 0 },
};
const FAULTY_RUNNERS: readonly string[] = [
  'quotes-v1-1',
  'quotes-v1-2',
  'stock-v1-1',
  'orders-v1-1',
];

async function setFault(fleet: Fleet, kind: FaultKind): Promise<void> {
  for (const id of FAULTY_RUNNERS) {
    if (id.startsWith('quotes')) {
      const slowFactor = kind === 'slow' ? SLOW_FACTOR : 1;
      await fleet.engineFault(id, { failRate: kind === 'fail' ? 1 : 0, slowFactor });
    } else {
      const mode = kind === 'none' ? 'ok' : kind;
      await fleet.applicationFault(id, { mode, delayMs: SLOW_DELAY_MS });
    }
  }
}

/** Starts and ends the fault; resolves with the attempts counted just before and just after it. */
async function injectFault(fleet: Fleet, kind: FaultKind): Promise<readonly [number, number]> {
  await sleep(FAULT_FROM_MS);
  const before = await sumNodeCounter(fleet, 'attempts');
  await setFault(fleet, kind);
  await sleep(FAULT_TO_MS - FAULT_FROM_MS);
  await setFault(fleet, 'none');
  return [before, await sumNodeCounter(fleet, 'attempts')];
}

async function runFault(kind: FaultKind, seed: number): Promise<ResultRow> {
  const planned = planWorkload({
    ...{ seed, durationMs: DURATION_MS, rates: RATES, tenants: benchTenants },
  });
  const keys = tenantKeys(Object.keys(benchTenants));
  const tenants = [...keys].map(([tenant, key]) => ({ tenant, key }));
  const values = await withFleet({ seed, tenants, runners: RUNNERS }, async (fleet) => {
    const nodes = fleet.entries.map(({ address }) => address);
    const [answers, [before, during]] = await Promise.all([
      replay({ planned, nodes, keys, seed }),
      injectFault(fleet, kind),
    ]);
    const attempts = [before, during, await sumNodeCounter(fleet, 'attempts')] as const;
    const runs = await fleet.operationRuns();
    const times = { faultFromMs: FAULT_FROM_MS, faultToMs: FAULT_TO_MS };
    return recoveryValues({ answers, ...times, attempts, runs });
  });
  return { policy: kind === 'none' ? 'no fault' : `a third of runners ${kind}`, values };
}

async function run({ seed, log }: ExperimentOptions): Promise<ResultTable> {
  log('running without a fault, with failing and with slow runners concurrently');
  const kinds: readonly FaultKind[] = ['none', 'fail', 'slow'];
  const rows = await Promise.all(kinds.map((kind) => runFault(kind, seed)));
  return { seed, rows };
}

/** Measures retries and recovery while a third of the runners fail or slow down. */
export const retries: Experiment = {
  name: 'retries',
  summary: 'retries while a third of the runners of each service fail or slow down for 10 s',
  run,
};
