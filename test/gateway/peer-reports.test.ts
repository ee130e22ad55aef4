import test from 'ava';
import { SharedQuota } from '@ragwortrudder/admission';
import { ManualClock } from '@ragwortrudder/core';
import { PeerReports } from '../../packages/gateway/src/node/peer-reports.ts';
import { DemandMeter } from '../../packages/gateway/src/utils/demand-meter.ts';
import { LoadBoard } from '../../packages/gateway/src/utils/load-board.ts';
import { TrueTime } from '../../packages/gateway/src/utils/true-time.ts';
import { UsageCounter } from '../../packages/gateway/src/utils/usage-counter.ts';

interface Node {
  readonly quota: SharedQuota;
  readonly reports: PeerReports;
}

function node(name: string, clock: ManualClock): Node {
  const quota = new SharedQuota(clock);
  const reports = new PeerReports({
    node: name,
    address: { host: '127.0.0.1', port: 1 },
    failureDomain: 'a',
    life: 1,
    board: new LoadBoard(clock),
    quota,
    usage: new UsageCounter(5_000),
    demand: new DemandMeter(clock),
    trueTime: new TrueTime(clock),
    dutyToken: () => 0,
  });
  return { quota, reports };
}

const LIMITS = new Map([['team', { perSecond: 100, burst: 100 }]]);

test('what a peer drew since its last report is drawn here', (t) => {
  const clock = new ManualClock();
  const [here, there] = [node('n1', clock), node('n2', clock)];
  for (const { quota } of [here, there]) quota.setLimits(LIMITS);
  here.reports.take(there.reports.own(false), true);
  t.true(there.quota.tryTake('team', 100));
  here.reports.take(there.reports.own(false), false);
  t.false(here.quota.tryTake('team', 1));
});

test('pattern: hot team while nodes are cut off; after the cut heals, what the other side drew meanwhile is not drawn again', (t) => {
  const clock = new ManualClock();
  const [here, there] = [node('n1', clock), node('n2', clock)];
  for (const { quota } of [here, there]) quota.setLimits(LIMITS);
  here.reports.take(there.reports.own(false), true);
  for (const { quota } of [here, there]) quota.setShare(0.5);
  for (let step = 0; step < 120; step += 1) {
    clock.advance(100);
    for (const { quota } of [here, there]) quota.tryTake('team', 5);
  }
  for (const { quota } of [here, there]) quota.setShare(1);
  here.reports.take(there.reports.own(false), true);
  clock.advance(500);
  t.true(here.quota.tryTake('team', 5));
});
