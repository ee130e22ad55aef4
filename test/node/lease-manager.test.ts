import test from 'ava';
import { SeededRandom, SystemClock } from '@ragwortrudder/core';
import type { Platform } from '@ragwortrudder/standins';
import got from 'got';
import { LiveIncarnation } from '../../packages/node/src/node/lifecycle/live-incarnation.ts';
import { LeaseManager } from '../../packages/node/src/node/leases/lease-manager.ts';
import { Metrics } from '../../packages/node/src/node/metrics/metrics.ts';
import { StateLog } from '../../packages/node/src/node/metrics/state-log.ts';
import { control, startPlatform, supplySettings, until } from './supply-harness.ts';

const JOB = 'supply/quotes';

function leaseManagerOf(nodeId: string, platform: Platform): LeaseManager {
  const settings = supplySettings(nodeId, platform.address);
  const clock = new SystemClock();
  const metrics = new Metrics();
  const incarnation = new LiveIncarnation({ nodeId, number: 1 });
  const peers = { reachable: [], hasLowestId: nodeId === 'a' };
  const log = new StateLog(settings, metrics);
  return new LeaseManager(settings, clock, new SeededRandom(5), incarnation, peers, metrics, log);
}

function mayAct(leaseManager: LeaseManager): boolean {
  return leaseManager.holder(JOB)?.mayAct() === true;
}

async function withLeaseManagers(
  run: (a: LeaseManager, b: LeaseManager, platform: Platform) => Promise<void>,
): Promise<void> {
  const platform = await startPlatform();
  const leaseManagers = [leaseManagerOf('a', platform), leaseManagerOf('b', platform)] as const;
  try {
    await run(...leaseManagers, platform);
  } finally {
    await Promise.all(leaseManagers.map((leaseManager) => leaseManager.close()));
    await platform.close();
  }
}

test('one of two nodes holds the lease of a job, and the other acquires it as soon as it is released', async (t) => {
  await withLeaseManagers(async (a, b) => {
    await a.setJobs([JOB]);
    await until(() => mayAct(a));
    await b.setJobs([JOB]);
    await until(() => b.record(JOB)?.holder === 'a/1');
    t.false(mayAct(b));
    const first = a.record(JOB)?.fence ?? Infinity;
    await a.setJobs([]);
    t.is(a.holder(JOB), undefined);
    await until(() => mayAct(b));
    const record = b.record(JOB);
    t.true((record?.fence ?? 0) > first);
    t.deepEqual(record?.earlierFences, [first]);
  });
});

test('renewals keep a lease under the same fencing number', async (t) => {
  await withLeaseManagers(async (a) => {
    await a.setJobs([JOB]);
    await until(() => mayAct(a));
    const { fence, grantedBy = 0 } = a.record(JOB) ?? {};
    await until(() => (a.record(JOB)?.grantedBy ?? 0) > grantedBy);
    t.true(mayAct(a));
    t.is(a.record(JOB)?.fence, fence);
  });
});

test('the holder stops acting while the log is unavailable and resumes afterwards', async (t) => {
  await withLeaseManagers(async (a, _b, platform) => {
    await a.setJobs([JOB]);
    await until(() => mayAct(a));
    await control(platform.address, 'faults', { target: 'log.append', mode: 'down' });
    await until(() => !mayAct(a));
    await control(platform.address, 'faults', { target: 'log.append', mode: 'ok' });
    await until(() => mayAct(a));
    t.pass();
  });
});

test('without jobs the manager neither reads the log nor appends to it', async (t) => {
  await withLeaseManagers(async (a, _b, platform) => {
    await a.setJobs([]);
    const answer = await got(`http://${platform.address}/control/log/leases`).json();
    t.deepEqual(answer, { records: [] });
    t.deepEqual(a.statuses, []);
  });
});
