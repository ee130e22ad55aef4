import test from 'ava';
import { SeededRandom, SystemClock } from '@ragwortrudder/core';
import type { Platform } from '@ragwortrudder/standins';
import got from 'got';
import { LiveIncarnation } from '../../packages/node/src/node/lifecycle/live-incarnation.ts';
import { LeaseManager } from '../../packages/node/src/node/leases/lease-manager.ts';
import { Metrics } from '../../packages/node/src/node/metrics/metrics.ts';
import { StateLog } from '../../packages/node/src/node/metrics/state-log.ts';
import { control, startPlatform, supplySettings, until } from './supply-parts.ts';

const JOB = 'supply/quotes';

function boardOf(nodeId: string, platform: Platform): LeaseManager {
  const settings = supplySettings(nodeId, platform.address);
  const clock = new SystemClock();
  const metrics = new Metrics();
  const incarnation = new LiveIncarnation({ nodeId, number: 1 });
  const peers = { reachable: [], hasLowestId: nodeId === 'a' };
  const log = new StateLog(settings, metrics);
  return new LeaseManager(settings, clock, new SeededRandom(5), incarnation, peers, metrics, log);
}

function acts(board: LeaseManager): boolean {
  return board.holder(JOB)?.mayAct() === true;
}

async function withBoards(
  run: (a: LeaseManager, b: LeaseManager, platform: Platform) => Promise<void>,
): Promise<void> {
  const platform = await startPlatform();
  const boards = [boardOf('a', platform), boardOf('b', platform)] as const;
  try {
    await run(...boards, platform);
  } finally {
    await Promise.all(boards.map((board) => board.close()));
    await platform.close();
  }
}

test('one of two nodes holds a job, and passes it on at once when it lets it go', async (t) => {
  await withBoards(async (a, b) => {
    await a.setJobs([JOB]);
    await until(() => acts(a));
    await b.setJobs([JOB]);
    await until(() => b.record(JOB)?.holder === 'a/1');
    t.false(acts(b));
    const first = a.record(JOB)?.fence ?? Infinity;
    await a.setJobs([]);
    t.is(a.holder(JOB), undefined);
    await until(() => acts(b));
    const record = b.record(JOB);
    t.true((record?.fence ?? 0) > first);
    t.deepEqual(record?.earlierFences, [first]);
  });
});

test('a lease is kept by renewals, under one fencing number', async (t) => {
  await withBoards(async (a) => {
    await a.setJobs([JOB]);
    await until(() => acts(a));
    const { fence, grantedBy = 0 } = a.record(JOB) ?? {};
    await until(() => (a.record(JOB)?.grantedBy ?? 0) > grantedBy);
    t.true(acts(a));
    t.is(a.record(JOB)?.fence, fence);
  });
});

test('while the log is out the holder stops acting, and acts again after it', async (t) => {
  await withBoards(async (a, _b, platform) => {
    await a.setJobs([JOB]);
    await until(() => acts(a));
    await control(platform.address, 'faults', { target: 'log.append', mode: 'down' });
    await until(() => !acts(a));
    await control(platform.address, 'faults', { target: 'log.append', mode: 'ok' });
    await until(() => acts(a));
    t.pass();
  });
});

test('without a job nothing is read from the log or appended to it', async (t) => {
  await withBoards(async (a, _b, platform) => {
    await a.setJobs([]);
    const answer = await got(`http://${platform.address}/control/log/leases`).json();
    t.deepEqual(answer, { records: [] });
    t.deepEqual(a.statuses, []);
  });
});
