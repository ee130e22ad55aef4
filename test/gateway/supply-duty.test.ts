import { Writable } from 'node:stream';
import test from 'ava';
import { RunnerDirectory } from '@ragwortrudder/catalog';
import type { RunnerEntry, Service } from '@ragwortrudder/catalog';
import { ManualClock } from '@ragwortrudder/core';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import { DecisionLog } from '../../packages/gateway/src/node/decision-log.ts';
import { DutyBoard } from '../../packages/gateway/src/node/duty-board.ts';
import { SupplyDuty } from '../../packages/gateway/src/node/supply-duty.ts';
import { DemandMeter } from '../../packages/gateway/src/utils/demand-meter.ts';
import { MemoryCloud } from './memory-cloud.ts';

const SERVICE: Service = {
  name: 'model',
  healthPath: '/health',
  maxConnections: 100,
  engine: { slots: 64, kvCapacityTokens: 400_000 },
  scaling: { min: 1, max: 30, startupMs: 4_000, spotPrice: 0.2, prices: { a: 1, b: 1, c: 1 } },
};
const TICK_MS = 500;

interface Bed {
  readonly clock: ManualClock;
  readonly cloud: MemoryCloud;
  readonly directory: RunnerDirectory;
  readonly demand: DemandMeter;
  readonly board: DutyBoard;
  readonly duty: SupplyDuty;
}

function runner(id: string, change: Partial<RunnerEntry> = {}): RunnerEntry {
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

async function bed(): Promise<Bed> {
  const clock = new ManualClock();
  const cloud = new MemoryCloud();
  const directory = new RunnerDirectory({ clock });
  const demand = new DemandMeter(clock);
  const out = new Writable({
    write: (_chunk, _encoding, done) => {
      done();
    },
  });
  const duty = new SupplyDuty({
    cloud,
    directory,
    demand,
    clock,
    log: new DecisionLog({ node: 'n1', out, clock }),
    prefillMsPerToken: () => 0.01,
    services: () => [SERVICE],
  });
  const board = new DutyBoard({ log: new MemoryKeyedLog(), node: 'n1' });
  await board.takeOver();
  duty.begin(board);
  return { clock, cloud, directory, demand, board, duty };
}

async function perform({ clock, duty, board }: Bed, ticks: number): Promise<void> {
  for (let tick = 0; tick < ticks; tick += 1) {
    await duty.perform(board);
    clock.advance(TICK_MS);
  }
}

function ordered({ cloud }: Bed, isSpot: boolean): number {
  const newest = new Map<string, number>();
  for (const { order } of cloud.calls) {
    if (order?.isSpot === isSpot) newest.set(order.failureDomain, order.count);
  }
  return [...newest.values()].reduce((sum, count) => sum + count, 0);
}

test('pattern: start of a day with a large fleet; before any demand was seen it is not let go', async (t) => {
  const parts = await bed();
  for (let index = 0; index < 42; index += 1) {
    parts.directory.put(runner(`r${index}`, { failureDomain: ['a', 'b', 'c'][index % 3] ?? 'a' }));
  }
  await perform(parts, 4);
  t.true(ordered(parts, true) >= 36, `${ordered(parts, true)}`);
});

test('pattern: burst; more runners are ordered within a few seconds of the demand', async (t) => {
  const parts = await bed();
  parts.directory.put(runner('r1'));
  await perform(parts, 4);
  const before = ordered(parts, true);
  for (let step = 0; step < 8; step += 1) {
    parts.demand.add('model', { requests: 50, promptTokens: 600_000, outputTokens: 10_000 });
    await perform(parts, 1);
  }
  t.true(ordered(parts, true) > before * 2, `${before} before, ${ordered(parts, true)} after`);
});

test('pattern: wave of reclaims; a notice in one domain brings on-demand runners for all of the work', async (t) => {
  const parts = await bed();
  for (const failureDomain of ['a', 'b', 'c']) {
    for (const id of ['1', '2']) {
      parts.directory.put(runner(`${failureDomain}${id}`, { failureDomain, isSpot: true }));
    }
  }
  parts.directory.put(runner('od', { failureDomain: 'a' }));
  for (let step = 0; step < 10; step += 1) {
    parts.demand.add('model', { requests: 5, promptTokens: 100_000, outputTokens: 2_000 });
    await perform(parts, 1);
  }
  t.true(ordered(parts, false) <= 1);
  for (const id of ['b1', 'b2']) {
    parts.directory.put(runner(id, { failureDomain: 'b', isSpot: true, isDraining: true }));
  }
  parts.demand.add('model', { requests: 5, promptTokens: 100_000, outputTokens: 2_000 });
  await perform(parts, 1);
  t.true(ordered(parts, false) >= 3, `${ordered(parts, false)}`);
});

test('a holder that lost its term orders nothing', async (t) => {
  const parts = await bed();
  parts.directory.put(runner('r1'));
  parts.board.resign();
  await perform(parts, 4);
  t.is(parts.cloud.calls.length, 0);
});
