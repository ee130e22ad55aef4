import { Writable } from 'node:stream';
import test from 'ava';
import { RunnerDirectory } from '@ragwortrudder/catalog';
import type { RunnerEntry, Service } from '@ragwortrudder/catalog';
import { ManualClock } from '@ragwortrudder/core';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import { EvacuatedDomains } from '@ragwortrudder/routing';
import { DecisionLog } from '../../packages/gateway/src/node/decision-log.ts';
import type { DutyTermStore } from '../../packages/gateway/src/node/duty-term-store.ts';
import { createTermStore } from './create-term-store.ts';
import { SupplyDuty } from '../../packages/gateway/src/node/supply-duty.ts';
import { DemandMeter } from '../../packages/gateway/src/utils/demand-meter.ts';
import { InMemoryCloudApi } from './in-memory-cloud-api.ts';

const SERVICE: Service = {
  name: 'model',
  healthPath: '/health',
  maxConnections: 100,
  engine: { slots: 64, kvCapacityTokens: 400_000 },
  scaling: { min: 1, max: 30, startupMs: 4_000, spotPrice: 0.2, prices: { a: 1, b: 1, c: 1 } },
};
const TICK_MS = 500;

interface TestEnvironment {
  readonly clock: ManualClock;
  readonly cloud: InMemoryCloudApi;
  readonly directory: RunnerDirectory;
  readonly evacuated: EvacuatedDomains;
  readonly demand: DemandMeter;
  /** Sets whether the holder hears all nodes that it knows. */
  readonly hearAllNodes: (hears: boolean) => void;
  readonly termStore: DutyTermStore;
  readonly duty: SupplyDuty;
}

function runnerEntry(id: string, change: Partial<RunnerEntry> = {}): RunnerEntry {
  return {
    id,
    service: 'model',
    address: { host: '127.0.0.1', port: 1 },
    failureDomain: 'a',
    version: 'v1',
    slots: 64,
    isDraining: false,
    coldMs: 0,
    bornMs: 1,
    isSpot: false,
    ...change,
  };
}

async function createEnvironment(): Promise<TestEnvironment> {
  const clock = new ManualClock();
  const cloud = new InMemoryCloudApi();
  const directory = new RunnerDirectory({ clock });
  const evacuated = new EvacuatedDomains(clock);
  const demand = new DemandMeter(clock);
  let hearsAllNodes = true;
  const out = new Writable({
    write: (_chunk, _encoding, done) => {
      done();
    },
  });
  const duty = new SupplyDuty({
    cloud,
    directory,
    evacuated,
    demand,
    hearsAllNodes: () => hearsAllNodes,
    clock,
    log: new DecisionLog({ node: 'n1', out, clock }),
    prefillMsPerToken: () => 0.01,
    services: () => [SERVICE],
  });
  const termStore = createTermStore({ log: new MemoryKeyedLog(), node: 'n1' });
  await termStore.takeOver();
  duty.begin(termStore);
  const hearAllNodes = (hears: boolean): void => {
    hearsAllNodes = hears;
  };
  return { clock, cloud, directory, evacuated, demand, hearAllNodes, termStore, duty };
}

async function perform({ clock, duty, termStore }: TestEnvironment, ticks: number): Promise<void> {
  for (let tick = 0; tick < ticks; tick += 1) {
    await duty.perform(termStore);
    clock.advance(TICK_MS);
  }
}

function orderedCount({ cloud }: TestEnvironment, isSpot: boolean): number {
  const newest = new Map<string, number>();
  for (const { order } of cloud.calls) {
    if (order?.isSpot === isSpot) newest.set(order.failureDomain, order.count);
  }
  return [...newest.values()].reduce((sum, count) => sum + count, 0);
}

test('pattern: start of a day with a large fleet; it is not scaled down before any demand has been measured', async (t) => {
  const environment = await createEnvironment();
  for (let index = 0; index < 42; index += 1) {
    environment.directory.put(
      runnerEntry(`r${index}`, { failureDomain: ['a', 'b', 'c'][index % 3] ?? 'a' }),
    );
  }
  await perform(environment, 4);
  t.true(orderedCount(environment, true) >= 36, `${orderedCount(environment, true)}`);
});

const DOMAINS = ['a', 'b', 'c'];

/** Lowest number of on-demand runners that was ordered in a domain. */
function lowestOnDemandOrder({ cloud }: TestEnvironment): number {
  const counts = cloud.calls.flatMap(({ order }) => (order?.isSpot === false ? [order.count] : []));
  return Math.min(Infinity, ...counts);
}

// Guards against orders that take away runners which are not listed yet (SHORT).
test('pattern: start of a deployment; runners that have not registered yet are not ordered away', async (t) => {
  const environment = await createEnvironment();
  await perform(environment, 3);
  t.is(environment.cloud.calls.length, 0, 'nothing is listed yet');
  for (let step = 0; step < 7; step += 1) {
    for (const failureDomain of DOMAINS) {
      for (let index = 0; index < 2; index += 1) {
        const id = `${failureDomain}${step * 2 + index}`;
        environment.directory.put(runnerEntry(id, { failureDomain }));
      }
    }
    await perform(environment, 1);
  }
  t.is(lowestOnDemandOrder(environment), Infinity, 'no replacement serves yet');
  t.true(orderedCount(environment, true) >= 42, `${orderedCount(environment, true)}`);
});

// Guards against a fleet that is cut by the first reclaimable runner while other runners still register (SHORT).
test('pattern: start of a deployment; on-demand runners are replaced once all of them are listed', async (t) => {
  const environment = await createEnvironment();
  const register = (failureDomain: string, from: number): void => {
    for (let index = from; index < from + 3; index += 1) {
      environment.directory.put(runnerEntry(`${failureDomain}${index}`, { failureDomain }));
    }
  };
  for (const failureDomain of DOMAINS) {
    register(failureDomain, 0);
    const id = `spot-${failureDomain}`;
    environment.directory.put(runnerEntry(id, { failureDomain, isSpot: true }));
  }
  await perform(environment, 1);
  for (const failureDomain of DOMAINS) register(failureDomain, 3);
  await perform(environment, 2);
  t.is(lowestOnDemandOrder(environment), Infinity, 'three runners have just been listed');
  await perform(environment, 4);
  t.true(lowestOnDemandOrder(environment) < 6, 'replaced');
});

test('a service of which no runner is ever listed gets the runners that its demand needs', async (t) => {
  const environment = await createEnvironment();
  await performUnderLoad(environment, 12);
  t.true(orderedCount(environment, true) > 0);
  t.true(orderedCount(environment, false) > 0);
});

test('pattern: burst; more runners are ordered within a few seconds of the demand', async (t) => {
  const environment = await createEnvironment();
  environment.directory.put(runnerEntry('r1'));
  await perform(environment, 4);
  const before = orderedCount(environment, true);
  for (let step = 0; step < 8; step += 1) {
    environment.demand.add('model', { requests: 50, promptTokens: 600_000, outputTokens: 10_000 });
    await perform(environment, 1);
  }
  t.true(
    orderedCount(environment, true) > before * 2,
    `${before} before, ${orderedCount(environment, true)} after`,
  );
});

test('pattern: wave of reclaims; a reclaim in one domain leads to orders of on-demand runners for all of the work', async (t) => {
  const environment = await createEnvironment();
  for (const failureDomain of ['a', 'b', 'c']) {
    for (const id of ['1', '2']) {
      environment.directory.put(
        runnerEntry(`${failureDomain}${id}`, { failureDomain, isSpot: true }),
      );
    }
  }
  environment.directory.put(runnerEntry('od', { failureDomain: 'a' }));
  for (let step = 0; step < 10; step += 1) {
    environment.demand.add('model', { requests: 5, promptTokens: 100_000, outputTokens: 2_000 });
    await perform(environment, 1);
  }
  t.true(orderedCount(environment, false) <= 1);
  for (const id of ['b1', 'b2']) {
    environment.directory.put(
      runnerEntry(id, { failureDomain: 'b', isSpot: true, isDraining: true }),
    );
  }
  environment.demand.add('model', { requests: 5, promptTokens: 100_000, outputTokens: 2_000 });
  await perform(environment, 1);
  t.true(orderedCount(environment, false) >= 3, `${orderedCount(environment, false)}`);
});

test('a holder that lost its term places no orders', async (t) => {
  const environment = await createEnvironment();
  environment.directory.put(runnerEntry('r1'));
  environment.termStore.resign();
  await perform(environment, 4);
  t.is(environment.cloud.calls.length, 0);
});

/** Demand until the orders have settled. */
async function orderForDemand(environment: TestEnvironment): Promise<number> {
  environment.directory.put(runnerEntry('r1'));
  await performUnderLoad(environment, 40);
  return orderedCount(environment, true);
}

// Guards against a fleet that is cut to what the nodes on one side of a partition need (SHORT).
test('pattern: failure domain cut off; a holder that does not hear all nodes orders no fewer runners', async (t) => {
  const environment = await createEnvironment();
  const ordered = await orderForDemand(environment);
  environment.hearAllNodes(false);
  await perform(environment, 60);
  t.is(orderedCount(environment, true), ordered);
  environment.hearAllNodes(true);
  await perform(environment, 10);
  t.is(orderedCount(environment, true), ordered, 'has to be sufficient anew');
  await perform(environment, 20);
  t.true(orderedCount(environment, true) < ordered);
});

// Guards against a lower order at the start of a term, for a need that an earlier term saw (SHORT).
test('a lower count has to be sufficient anew in each term', async (t) => {
  const environment = await createEnvironment();
  const { clock, duty, termStore } = environment;
  const ordered = await orderForDemand(environment);
  await perform(environment, 14);
  t.is(orderedCount(environment, true), ordered);
  termStore.resign();
  clock.advance(30_000);
  await termStore.takeOver();
  duty.begin(termStore);
  await perform(environment, 10);
  t.is(orderedCount(environment, true), ordered);
});

function ordersFor({ cloud }: TestEnvironment, failureDomain: string): number {
  return cloud.calls.filter(({ order }) => order?.failureDomain === failureDomain).length;
}

async function performUnderLoad(environment: TestEnvironment, ticks: number): Promise<void> {
  for (let tick = 0; tick < ticks; tick += 1) {
    environment.demand.add('model', { requests: 50, promptTokens: 600_000, outputTokens: 10_000 });
    await perform(environment, 1);
  }
}

// Guards against orders for an evacuated domain, and against counting on runners that get no requests (EVACUATION).
test('pattern: evacuated domain; its runners are planned in the others and its own numbers stay', async (t) => {
  const environment = await createEnvironment();
  for (const failureDomain of ['a', 'b', 'c']) {
    environment.directory.put(runnerEntry(`${failureDomain}1`, { failureDomain, isSpot: true }));
  }
  await performUnderLoad(environment, 10);
  const countsOf = (domain: string): readonly number[] =>
    environment.cloud.calls.flatMap(({ order }) =>
      order?.failureDomain === domain && order.isSpot ? [order.count] : [],
    );
  const before = countsOf('b').at(-1) ?? 0;
  const orders = ordersFor(environment, 'a');
  environment.evacuated.begin('a');
  await performUnderLoad(environment, 10);
  t.is(ordersFor(environment, 'a'), orders);
  t.true((countsOf('b').at(-1) ?? 0) > before, `${before} before, ${countsOf('b').at(-1)} after`);
  await perform(environment, 60);
  t.is(ordersFor(environment, 'a'), orders, 'not scaled down while evacuated');
  environment.evacuated.end('a');
  await perform(environment, 60);
  t.true(ordersFor(environment, 'a') > orders);
});

test('nothing is ordered while all domains of a service are evacuated', async (t) => {
  const environment = await createEnvironment();
  environment.directory.put(runnerEntry('r1'));
  for (const failureDomain of ['a', 'b', 'c']) environment.evacuated.begin(failureDomain);
  await performUnderLoad(environment, 10);
  t.deepEqual(
    environment.cloud.calls.filter(({ order }) => order !== undefined),
    [],
  );
});
