import { setTimeout as sleep } from 'node:timers/promises';
import { SeededRandom } from '@ragwortrudder/core';
import { Fleet } from '@ragwortrudder/standins';
import type { FleetOptions, Price } from '@ragwortrudder/standins';
import got from 'got';
import { PlatformController } from '../node/platform-controller.ts';
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
/** Warm-up time, excluded from the serving and protected values. */
const WARM_UP_MS = 10_000;
/** Time without events at the end of the run, after which every VM must be accounted for. */
const SETTLE_MS = 8000;
const SAMPLE_MS = 250;
const REQUIRED_RUNNERS = 8;
const SPARE_RUNNERS = 48;
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

interface PolicyRun {
  readonly policy: string;
  readonly prices: readonly Price[];
  readonly events: readonly SupplyEvent[];
  readonly seed: number;
}

function fleetOptions({ policy, prices, seed }: PolicyRun): FleetOptions {
  return {
    seed,
    runners: [
      { service: 'quotes', version: 'v1', kind: 'model', count: SPARE_RUNNERS, spare: true },
    ],
    platform: { prices, vmLagMs: 1000, vmStartMs: 1000 },
    settings: { supply: { ...SUPPLY, policy } },
  };
}

function supplyTicket(): unknown {
  const quotes = {
    ...{ kind: 'model', version: 'v1', fencing: true, idempotent: true, classes: ['interactive'] },
    capacity: { runners: REQUIRED_RUNNERS },
  };
  return { number: 1, against: 0, services: { quotes } };
}

/**
 * Counts the orders received by all engines so far; `lastCounts` keeps the counts of engines whose
 * VM is gone.
 */
async function countLoads(fleet: Fleet, lastCounts: Map<string, number>): Promise<number> {
  await Promise.all(
    fleet.runners.map(async ({ id, address }) => {
      const answer = await got(`http://${address}/control/orders`, {
        retry: { limit: 0 },
        timeout: { request: SAMPLE_MS },
      })
        .json()
        .catch(() => undefined);
      if (answer)
        lastCounts.set(id, (answer as { readonly orders: readonly unknown[] }).orders.length);
    }),
  );
  return [...lastCounts.values()].reduce((sum, count) => sum + count, 0);
}

async function runEvents(
  fleet: Fleet,
  platform: PlatformController,
  events: readonly SupplyEvent[],
) {
  const samples = new SupplySamples();
  const loads = new Map<string, number>();
  const startedAt = performance.now();
  const pending = [...events];
  const actions: Promise<void>[] = [];
  for (;;) {
    const atMs = performance.now() - startedAt;
    while (pending[0] && pending[0].atMs <= atMs) {
      const event = pending.shift();
      if (event) actions.push(platform.apply(event));
    }
    const vms = await platform.vms();
    const count = await countLoads(fleet, loads);
    samples.add({ atMs, vms, prices: platform.prices, loads: count });
    if (atMs >= DURATION_MS + SETTLE_MS) break;
    await sleep(SAMPLE_MS);
  }
  await Promise.all(actions);
  return samples;
}

async function runPolicy(run: PolicyRun): Promise<ResultRow> {
  const fleet = new Fleet(fleetOptions(run));
  const platform = new PlatformController(fleet, run.prices);
  try {
    await fleet.start();
    await fleet.submitTicket(supplyTicket());
    const samples = await runEvents(fleet, platform, run.events);
    const [vmCount, knownVmCount] = [(await platform.vms()).length, await platform.knownVmCount()];
    const appends = (await fleet.log('leases')).length;
    return {
      policy: run.policy,
      values: {
        ...samples.values(WARM_UP_MS, REQUIRED_RUNNERS),
        unaccounted: knownVmCount === undefined ? NaN : vmCount - knownVmCount,
        leaseAppends: appends,
      },
    };
  } finally {
    platform.close();
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

/**
 * Compares VM supply policies under price changes, reclaim waves, refusals, lost replies and a
 * killed lease holder.
 */
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
