import { setTimeout as sleep } from 'node:timers/promises';
import { SeededRandom } from '@ragwortrudder/core';
import { Fleet } from '@ragwortrudder/standins';
import type { FleetOptions, Price } from '@ragwortrudder/standins';
import got from 'got';
import { SupplyControl } from '../node/supply-control.ts';
import { SupplySamples } from '../node/supply-samples.ts';
import type { Experiment } from '../types/experiment.ts';
import type { ExperimentOptions } from '../types/experiment-options.ts';
import type { ResultRow } from '../types/result-row.ts';
import type { ResultTable } from '../types/result-table.ts';
import type { SupplyEvent } from '../types/supply-event.ts';
import { drawPrices } from '../utils/draw-prices.ts';
import { planSupplyEvents } from '../utils/plan-supply-events.ts';

const POLICIES = ['mixed', 'on-demand', 'cheapest-first'] as const;
const DURATION_MS = 40_000;
/** Time until what is held is judged. */
const WARM_MS = 10_000;
/** Time without events at the end, after which nothing may be unaccounted for. */
const SETTLE_MS = 8000;
const SAMPLE_MS = 250;
const WANTED_RUNNERS = 8;
const SPARES = 48;
const WEIGHT_LOADS_PER_SECOND = 4;
const SUPPLY = {
  periodMs: 250,
  leaseMs: 5000,
  leaseMarginMs: 1000,
  settleMs: 1000,
  listLagMs: 4000,
  returnAfterMs: 3000,
  backoffMs: 2000,
  cloudCallsPerSecond: 8,
  weightLoadsPerSecond: WEIGHT_LOADS_PER_SECOND,
  engineCheckMs: 1000,
};

interface Run {
  readonly policy: string;
  readonly prices: readonly Price[];
  readonly events: readonly SupplyEvent[];
  readonly seed: number;
}

function fleetOf({ policy, prices, seed }: Run): FleetOptions {
  return {
    seed,
    runners: [{ service: 'quotes', version: 'v1', kind: 'model', count: SPARES, spare: true }],
    platform: { prices, vmLagMs: 1000, vmStartMs: 1000 },
    settings: { supply: { ...SUPPLY, policy } },
  };
}

function ticket(): unknown {
  const quotes = {
    ...{ kind: 'model', version: 'v1', fencing: true, idempotent: true, classes: ['interactive'] },
    capacity: { runners: WANTED_RUNNERS },
  };
  return { number: 1, against: 0, services: { quotes } };
}

/** Orders that all engines were given so far; an engine without a VM answers no longer. */
async function countLoads(fleet: Fleet, known: Map<string, number>): Promise<number> {
  await Promise.all(
    fleet.runners.map(async ({ id, address }) => {
      const answer = await got(`http://${address}/control/orders`, {
        retry: { limit: 0 },
        timeout: { request: SAMPLE_MS },
      })
        .json()
        .catch(() => undefined);
      if (answer) known.set(id, (answer as { readonly orders: readonly unknown[] }).orders.length);
    }),
  );
  return [...known.values()].reduce((sum, count) => sum + count, 0);
}

async function observe(fleet: Fleet, control: SupplyControl, events: readonly SupplyEvent[]) {
  const samples = new SupplySamples();
  const loads = new Map<string, number>();
  const startedAt = performance.now();
  const pending = [...events];
  const actions: Promise<void>[] = [];
  for (;;) {
    const atMs = performance.now() - startedAt;
    while (pending[0] && pending[0].atMs <= atMs) {
      const event = pending.shift();
      if (event) actions.push(control.bringAbout(event));
    }
    const vms = await control.vms();
    const count = await countLoads(fleet, loads);
    samples.add({ atMs, vms, prices: control.prices, loads: count });
    if (atMs >= DURATION_MS + SETTLE_MS) break;
    await sleep(SAMPLE_MS);
  }
  await Promise.all(actions);
  return samples;
}

async function runPolicy(run: Run): Promise<ResultRow> {
  const fleet = new Fleet(fleetOf(run));
  const control = new SupplyControl(fleet, run.prices);
  try {
    await fleet.start();
    await fleet.submitTicket(ticket());
    const samples = await observe(fleet, control, run.events);
    const [vms, known] = [(await control.vms()).length, await control.known()];
    const appends = (await fleet.log('leases')).length;
    return {
      policy: run.policy,
      values: {
        ...samples.values(WARM_MS, WANTED_RUNNERS),
        unaccounted: known === undefined ? NaN : vms - known,
        leaseAppends: appends,
      },
    };
  } finally {
    control.close();
    await fleet.close();
  }
}

async function run({ seed, log }: ExperimentOptions): Promise<ResultTable> {
  const rows: ResultRow[] = [];
  for (const policy of POLICIES) {
    log(policy);
    const random = new SeededRandom(seed);
    const prices = drawPrices(random);
    const events = planSupplyEvents(random, DURATION_MS, prices);
    rows.push(await runPolicy({ policy, prices, events, seed }));
  }
  return { seed, rows };
}

/** Supply of VMs under price changes, reclaim waves, refusals, lost replies and a killed holder. */
export const supply: Experiment = {
  name: 'supply',
  summary:
    'the supply of VMs for 8 runners: the mixed policy against all on demand and cheapest first',
  comparisons: [
    {
      policy: 'mixed',
      baselines: ['on-demand'],
      values: { costPerHour: 'lower', medianProtected: 'higher', partProtected: 'higher' },
    },
    {
      policy: 'mixed',
      baselines: ['cheapest-first'],
      values: { costPerHour: 'lower', medianProtected: 'higher', partServingAll: 'higher' },
    },
  ],
  run,
};
