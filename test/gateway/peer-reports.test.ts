import test from 'ava';
import { SharedQuota } from '@ragwortrudder/admission';
import { ManualClock } from '@ragwortrudder/core';
import { PeerReports } from '../../packages/gateway/src/node/peer-reports.ts';
import { DemandMeter } from '../../packages/gateway/src/utils/demand-meter.ts';
import { LoadBoard } from '../../packages/gateway/src/utils/load-board.ts';
import { TrueTime } from '../../packages/gateway/src/utils/true-time.ts';
import { UsageCounter } from '../../packages/gateway/src/utils/usage-counter.ts';

interface Node {
  readonly board: LoadBoard;
  readonly quota: SharedQuota;
  readonly reports: PeerReports;
}

function node(name: string, clock: ManualClock, failureDomain = 'a'): Node {
  const board = new LoadBoard(clock);
  const quota = new SharedQuota(clock);
  const reports = new PeerReports({
    node: name,
    address: { host: '127.0.0.1', port: 1 },
    failureDomain,
    life: 1,
    clock,
    board,
    quota,
    usage: new UsageCounter(5_000),
    demand: new DemandMeter(clock),
    trueTime: new TrueTime(clock),
    dutyToken: () => 0,
  });
  return { board, quota, reports };
}

const WHOLE = { isLeaving: false, hasAccount: true };
const LIMITS = new Map([['team', { perSecond: 100, burst: 100 }]]);

test('what a peer drew since its last report is drawn here', (t) => {
  const clock = new ManualClock();
  const [here, there] = [node('n1', clock), node('n2', clock)];
  for (const { quota } of [here, there]) quota.setLimits(LIMITS);
  here.reports.take(there.reports.own(WHOLE), true);
  t.true(there.quota.tryTake('team', 100));
  here.reports.take(there.reports.own(WHOLE), false);
  t.false(here.quota.tryTake('team', 1));
});

test('pattern: hot team while nodes are cut off; after the cut heals, what the other side drew meanwhile is not drawn again', (t) => {
  const clock = new ManualClock();
  const [here, there] = [node('n1', clock), node('n2', clock)];
  for (const { quota } of [here, there]) quota.setLimits(LIMITS);
  here.reports.take(there.reports.own(WHOLE), true);
  for (const { quota } of [here, there]) quota.setShare(0.5);
  for (let step = 0; step < 120; step += 1) {
    clock.advance(100);
    for (const { quota } of [here, there]) quota.tryTake('team', 5);
  }
  for (const { quota } of [here, there]) quota.setShare(1);
  here.reports.take(there.reports.own(WHOLE), true);
  clock.advance(500);
  t.true(here.quota.tryTake('team', 5));
});

test('pattern: large deployment; what the members of a domain drew is drawn once elsewhere, by the digest of one relay', (t) => {
  const clock = new ManualClock();
  const [member, relay, second] = ['n1', 'n2', 'n3'].map((name) => node(name, clock));
  const far = node('m1', clock, 'b');
  if (!member || !relay || !second) throw new Error('three nodes');
  for (const { quota } of [member, relay, second, far]) quota.setLimits(LIMITS);
  const tellNear = (isFirst: boolean): void => {
    for (const { reports } of [relay, second]) reports.take(member.reports.own(WHOLE), isFirst);
  };
  const tellFar = (): void => {
    for (const { reports } of [relay, second]) far.reports.takeDigest(reports.digest({}));
  };
  tellNear(true);
  tellFar();
  t.true(member.quota.tryTake('team', 60));
  t.true(relay.quota.tryTake('team', 30));
  tellNear(false);
  tellFar();
  t.true(far.quota.tryTake('team', 10));
  t.false(far.quota.tryTake('team', 1));
});

test('pattern: large deployment; work at a runner is told as a sum over the members of a domain', (t) => {
  const clock = new ManualClock();
  const [member, relay] = [node('n1', clock), node('n2', clock)];
  const far = node('m1', clock, 'b');
  member.board.add('r1', { requests: 2, prefillTokens: 100, kvTokens: 300 });
  relay.board.add('r1', { requests: 1, prefillTokens: 0, kvTokens: 50 });
  relay.reports.take(member.reports.own(WHOLE), true);
  const members: Readonly<Record<string, [string, number, number]>> = {
    n1: ['127.0.0.1', 1, 0],
    n2: ['127.0.0.1', 2, 0],
  };
  far.reports.takeDigest(relay.reports.digest(members));
  t.deepEqual(far.board.workAt('r1'), { requests: 3, prefillTokens: 100, kvTokens: 350 });
});
