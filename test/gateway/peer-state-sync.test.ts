import test from 'ava';
import { BrittleRunners, PromptQuarantine, StatedLimits } from '@ragwortrudder/admission';
import { RunnerDirectory } from '@ragwortrudder/catalog';
import { ManualClock } from '@ragwortrudder/core';
import { RunnerSpeeds } from '@ragwortrudder/routing';
import { PeerStateSync } from '../../packages/gateway/src/node/peer-state-sync.ts';
import { QuotaExchange } from '../../packages/gateway/src/node/quota-exchange.ts';
import { DomainDigest } from '../../packages/gateway/src/types/domain-digest.ts';
import { NodeReport } from '../../packages/gateway/src/types/node-report.ts';
import { QuotaLevels } from '../../packages/gateway/src/types/quota-levels.ts';
import { DemandMeter } from '../../packages/gateway/src/utils/demand-meter.ts';
import { PeerReach } from '../../packages/gateway/src/utils/peer-reach.ts';
import { RunnerLoadTracker } from '../../packages/gateway/src/utils/runner-load-tracker.ts';
import { DisciplinedClock } from '../../packages/gateway/src/utils/disciplined-clock.ts';
import { parseDomainDigest } from '../../packages/gateway/src/utils/parse-domain-digest.ts';
import { parseNodeReport } from '../../packages/gateway/src/utils/parse-node-report.ts';
import { reportTiming } from '../../packages/gateway/src/utils/report-timing.ts';
import { UsageCounter } from '../../packages/gateway/src/utils/usage-counter.ts';

const NO_LINKS = {
  lost: [],
  reachedFor: () => [],
  probeFor: () => undefined,
  recordReachedByPeer: () => undefined,
};

interface TestNode {
  readonly loadTracker: RunnerLoadTracker;
  readonly quota: QuotaExchange['quota'];
  readonly demand: DemandMeter;
  readonly directory: RunnerDirectory;
  readonly limits: StatedLimits;
  readonly speeds: RunnerSpeeds;
  readonly sync: PeerStateSync;
  /** Told to peers that asked what is left. */
  readonly answers: readonly QuotaLevels[];
}

function createNode(
  name: string,
  clock: ManualClock,
  failureDomain = 'a',
  isRelay = true,
  isAsking = false,
): TestNode {
  const answers: QuotaLevels[] = [];
  const loadTracker = new RunnerLoadTracker(clock);
  const exchange = new QuotaExchange({
    clock,
    windowMs: undefined,
    peers: () => ({ reachableCount: 1, knownCount: 1, timing: reportTiming(undefined) }),
    log: { notable: () => undefined },
  });
  const { quota } = exchange;
  const demand = new DemandMeter(clock);
  const directory = new RunnerDirectory({ clock });
  const limits = new StatedLimits({ clock, node: 'n', rank: (_runner, nodes) => nodes });
  const speeds = new RunnerSpeeds({ clock });
  const sync = new PeerStateSync({
    node: name,
    address: { host: '127.0.0.1', port: 1 },
    failureDomain,
    incarnation: 1,
    clock,
    loadTracker,
    quota,
    quotaExchange: {
      isAsking,
      levelsFor: (applied, reported) => exchange.levelsFor(applied, reported),
      receive: () => isAsking,
    },
    peers: () => ({
      sendQuotaLevels: (levels) => {
        answers.push(QuotaLevels.parse(levels));
      },
    }),
    usage: new UsageCounter(5_000),
    demand,
    directory,
    log: { notable: () => undefined },
    configurationVersion: () => 0,
    onPeerConfiguration: () => undefined,
    speeds,
    brittle: new BrittleRunners({
      clock,
      node: 'n',
      rank: (_runner, nodes) => nodes,
      onChange: () => undefined,
    }),
    limits,
    quarantine: new PromptQuarantine({ clock, trialRank: () => 0 }),
    links: () => NO_LINKS,
    reach: () => new PeerReach(clock),
    rollouts: { evidence: { cells: [] }, setPeerEvidence: () => undefined },
    disciplinedClock: new DisciplinedClock(clock),
    dutyToken: () => 0,
    timing: () => reportTiming(undefined),
    isRelay: () => isRelay,
  });
  return { loadTracker, quota, demand, directory, limits, speeds, sync, answers };
}

const WITH_TOTALS = { isLeaving: false, includesTotals: true };
const LIMITS = new Map([['team', { perSecond: 100, burst: 100 }]]);

test('quota that a peer consumed since its last report is subtracted locally', (t) => {
  const clock = new ManualClock();
  const [local, peer] = [createNode('n1', clock), createNode('n2', clock)];
  for (const { quota } of [local, peer]) quota.setLimits(LIMITS);
  local.sync.applyReport(peer.sync.createReport(WITH_TOTALS), true);
  t.true(peer.quota.tryTake('team', 100));
  local.sync.applyReport(peer.sync.createReport(WITH_TOTALS), false);
  t.false(local.quota.tryTake('team', 1));
});

// Guards against a field of reports or digests that makes each of them cost a check by its schema (SHORT).
test.serial('reports and digests as nodes create them are read without their schemas', (t) => {
  const clock = new ManualClock();
  const node = createNode('n1', clock);
  node.quota.setLimits(LIMITS);
  t.true(node.quota.tryTake('team', 1));
  node.loadTracker.add('r1', { requests: 1, prefillTokens: 20, kvTokens: 30 });
  serveTenPerSecond(node, clock);
  const messages = [
    ...[true, false].map((includesTotals) => {
      return [
        'report',
        { ...node.sync.createReport({ isLeaving: false, includesTotals }) },
      ] as const;
    }),
    ['digest', node.sync.createDigest({ n1: ['10.0.0.1', 7500, 0] })] as const,
  ];
  const checked: string[] = [];
  const parsers = {
    report: NodeReport.safeParse.bind(NodeReport),
    digest: DomainDigest.safeParse.bind(DomainDigest),
  };
  t.teardown(() => {
    NodeReport.safeParse = parsers.report;
    DomainDigest.safeParse = parsers.digest;
  });
  NodeReport.safeParse = (value, params) => {
    checked.push('report');
    return parsers.report(value, params);
  };
  DomainDigest.safeParse = (value, params) => {
    checked.push('digest');
    return parsers.digest(value, params);
  };
  for (const [kind, message] of messages) {
    const received = JSON.parse(JSON.stringify(message)) as unknown;
    const { success } = kind === 'report' ? parseNodeReport(received) : parseDomainDigest(received);
    t.true(success);
  }
  t.deepEqual(checked, []);
});

/** A node that has served ten requests a second for ten seconds. */
function serveTenPerSecond({ demand }: TestNode, clock: ManualClock): void {
  for (let step = 0; step < 100; step += 1) {
    demand.add('model', { requests: 1, promptTokens: 1_000, outputTokens: 50 });
    clock.advance(100);
  }
}

// Guards against a new duty holder that takes what it has not heard yet for no demand (SHORT).
test('the first report of totals to a node tells of the demand before it', (t) => {
  const clock = new ManualClock();
  const [holder, peer] = [createNode('n1', clock), createNode('n2', clock)];
  serveTenPerSecond(peer, clock);
  holder.sync.applyReport(NodeReport.parse(peer.sync.createReport(WITH_TOTALS)), true);
  const { requests, promptTokens } = holder.demand.perSecond('model');
  t.true(requests >= 9 && requests <= 11, `${requests}`);
  t.true(promptTokens >= 9_000 && promptTokens <= 11_000, `${promptTokens}`);
});

// Guards against orders for all demand since an earlier term, as if it had come within seconds.
test('totals that a node hears again after a while count for their last seconds only', (t) => {
  const clock = new ManualClock();
  const [holder, peer] = [createNode('n1', clock), createNode('n2', clock)];
  serveTenPerSecond(peer, clock);
  holder.sync.applyReport(NodeReport.parse(peer.sync.createReport(WITH_TOTALS)), true);
  for (let term = 0; term < 6; term += 1) serveTenPerSecond(peer, clock);
  holder.sync.applyReport(NodeReport.parse(peer.sync.createReport(WITH_TOTALS)), false);
  const { requests } = holder.demand.perSecond('model');
  t.true(requests >= 9 && requests <= 11, `${requests}`);
});

// Guards against orders for one more request of each node at the start of its traffic.
test('the request that begins the window of a node is not counted in it', (t) => {
  const clock = new ManualClock();
  const [holder, peer] = [createNode('n1', clock), createNode('n2', clock)];
  for (const { demand } of [holder, peer]) {
    demand.add('model', { requests: 1, promptTokens: 1_000, outputTokens: 50 });
  }
  clock.advance(2_000);
  for (const { demand } of [holder, peer]) {
    demand.add('model', { requests: 1, promptTokens: 1_000, outputTokens: 50 });
  }
  holder.sync.applyReport(NodeReport.parse(peer.sync.createReport(WITH_TOTALS)), true);
  t.is(holder.demand.perSecond('model').requests, 1);
});

test('the demand of a node that no longer serves requests ends with its window', (t) => {
  const clock = new ManualClock();
  const [holder, peer] = [createNode('n1', clock), createNode('n2', clock)];
  serveTenPerSecond(peer, clock);
  clock.advance(5_000);
  holder.sync.applyReport(NodeReport.parse(peer.sync.createReport(WITH_TOTALS)), true);
  t.is(holder.demand.perSecond('model').requests, 0);
});

// Guards against use that nobody subtracts, between the start of a node and its first report (QUOTA).
test('all that a node consumed that has just started is subtracted with its first report', (t) => {
  const clock = new ManualClock();
  const local = createNode('n1', clock);
  const started = createNode('n2', clock, 'a', true, true);
  for (const { quota } of [local, started]) quota.setLimits(LIMITS);
  t.true(started.quota.tryTake('team', 40));
  local.sync.applyReport(started.sync.createReport(WITH_TOTALS), true);
  t.true(started.quota.tryTake('team', 20));
  local.sync.applyReport(started.sync.createReport(WITH_TOTALS), false);
  t.is(local.quota.stateOf('team')?.level, 40);
  t.deepEqual(
    local.answers.map(({ levels }) => levels.team),
    [100, 100],
  );
});

// Guards against use that nobody subtracts, between the last report of a peer and the start of a node (QUOTA).
test('what a peer consumed since its last report is subtracted by a node that it answers, and once', (t) => {
  const clock = new ManualClock();
  const started = createNode('n1', clock, 'a', true, true);
  const peer = createNode('n2', clock);
  for (const { quota } of [started, peer]) quota.setLimits(LIMITS);
  t.true(peer.quota.tryTake('team', 30));
  peer.sync.createReport(WITH_TOTALS);
  t.true(peer.quota.tryTake('team', 20));
  peer.sync.applyReport(started.sync.createReport(WITH_TOTALS), true);
  const [answer] = peer.answers;
  if (!answer) throw new Error('expected an answer');
  t.is(answer.levels.team, 70);
  started.sync.applyQuotaLevels(answer);
  t.is(started.quota.stateOf('team')?.level, 80);
  for (const [cost, left, isFirst] of [
    [5, 75, true],
    [10, 65, false],
  ] as const) {
    t.true(peer.quota.tryTake('team', cost));
    started.sync.applyReport(peer.sync.createReport(WITH_TOTALS), isFirst);
    t.is(started.quota.stateOf('team')?.level, left);
  }
});

test('what a peer consumed during a silence after its answer is not subtracted', (t) => {
  const clock = new ManualClock();
  const started = createNode('n1', clock, 'a', true, true);
  const peer = createNode('n2', clock);
  for (const { quota } of [started, peer]) quota.setLimits(LIMITS);
  peer.sync.applyReport(started.sync.createReport(WITH_TOTALS), true);
  for (const answer of peer.answers) started.sync.applyQuotaLevels(answer);
  t.true(peer.quota.tryTake('team', 30));
  clock.advance(reportTiming(undefined).peerTimeoutMs);
  started.sync.applyReport(peer.sync.createReport(WITH_TOTALS), true);
  t.is(started.quota.stateOf('team')?.level, 100);
});

test('pattern: hot team during a partition; after it heals, quota consumed on the other side in the meantime is not subtracted again', (t) => {
  const clock = new ManualClock();
  const [local, peer] = [createNode('n1', clock), createNode('n2', clock)];
  for (const { quota } of [local, peer]) quota.setLimits(LIMITS);
  local.sync.applyReport(peer.sync.createReport(WITH_TOTALS), true);
  for (const { quota } of [local, peer]) quota.setShare(0.5);
  for (let step = 0; step < 120; step += 1) {
    clock.advance(100);
    for (const { quota } of [local, peer]) quota.tryTake('team', 5);
  }
  for (const { quota } of [local, peer]) quota.setShare(1);
  local.sync.applyReport(peer.sync.createReport(WITH_TOTALS), true);
  clock.advance(500);
  t.true(local.quota.tryTake('team', 5));
});

test('pattern: large deployment; quota consumed in one domain is subtracted once in another, through the digest of one relay', (t) => {
  const clock = new ManualClock();
  const [member, relay, secondRelay] = ['n1', 'n2', 'n3'].map((name) => createNode(name, clock));
  const remote = createNode('m1', clock, 'b');
  if (!member || !relay || !secondRelay) throw new Error('expected three nodes');
  for (const { quota } of [member, relay, secondRelay, remote]) quota.setLimits(LIMITS);
  const sendReports = (isFirst: boolean): void => {
    for (const { sync } of [relay, secondRelay])
      sync.applyReport(member.sync.createReport(WITH_TOTALS), isFirst);
  };
  const sendDigests = (): void => {
    for (const { sync } of [relay, secondRelay]) remote.sync.applyDigest(sync.createDigest({}));
  };
  sendReports(true);
  sendDigests();
  t.true(member.quota.tryTake('team', 60));
  t.true(relay.quota.tryTake('team', 30));
  sendReports(false);
  sendDigests();
  t.true(remote.quota.tryTake('team', 10));
  t.false(remote.quota.tryTake('team', 1));
});

// Guards against use that nobody subtracts while another relay takes over (QUOTA).
test('pattern: large deployment; quota consumed while a relay ends is subtracted with the digests of the other one', (t) => {
  const clock = new ManualClock();
  const [member, relay, secondRelay] = ['n1', 'n2', 'n3'].map((name) => createNode(name, clock));
  const remote = createNode('m1', clock, 'b');
  if (!member || !relay || !secondRelay) throw new Error('expected three nodes');
  const limits = new Map([['team', { perSecond: 1, burst: 100 }]]);
  for (const { quota } of [member, relay, secondRelay, remote]) quota.setLimits(limits);
  const exchange = (relays: readonly TestNode[], isFirst: boolean): void => {
    const report = member.sync.createReport(WITH_TOTALS);
    for (const { sync } of relays) sync.applyReport(report, isFirst);
    for (const { sync } of relays) remote.sync.applyDigest(sync.createDigest({}));
    clock.advance(200);
  };
  exchange([relay, secondRelay], true);
  t.true(member.quota.tryTake('team', 10));
  exchange([relay, secondRelay], false);
  for (let period = 0; period < 10; period += 1) {
    t.true(member.quota.tryTake('team', 5));
    exchange([secondRelay], false);
  }
  // 60 are consumed, and some are refilled.
  t.true((remote.quota.stateOf('team')?.level ?? 0) <= 45);
});

test('pattern: large deployment; a digest reports work at a runner as the sum over the members of the domain', (t) => {
  const clock = new ManualClock();
  const [member, relay] = [createNode('n1', clock), createNode('n2', clock)];
  const remote = createNode('m1', clock, 'b');
  member.loadTracker.add('r1', { requests: 2, prefillTokens: 100, kvTokens: 300 });
  relay.loadTracker.add('r1', { requests: 1, prefillTokens: 0, kvTokens: 50 });
  relay.sync.applyReport(member.sync.createReport(WITH_TOTALS), true);
  const members: Readonly<Record<string, [string, number, number]>> = {
    n1: ['127.0.0.1', 1, 0],
    n2: ['127.0.0.1', 2, 0],
  };
  remote.sync.applyDigest(relay.sync.createDigest(members));
  t.deepEqual(remote.loadTracker.workAt('r1'), { requests: 3, prefillTokens: 100, kvTokens: 350 });
});

// Guards against sending requests to a runner whose response said that it is leaving (DRAIN).
test('pattern: scale in; leaving runners reach peers, other domains and nodes that join', (t) => {
  const clock = new ManualClock(1_000);
  const told = createNode('n1', clock);
  const peer = createNode('n2', clock);
  const remote = createNode('n3', clock, 'b');
  told.directory.markLeaving({ id: 'r0', bornMs: 5 });
  peer.sync.applyReport(told.sync.createReport({ isLeaving: false, includesTotals: false }), true);
  remote.sync.applyDigest(peer.sync.createDigest({}));
  for (const { directory } of [peer, remote]) {
    t.deepEqual(directory.leaving, [{ id: 'r0', bornMs: 5 }]);
  }
});

// Guards against counting a node's own work and use twice where its relay tells it of the whole domain.
test('pattern: large failure domain; a node counts what the others do, and itself once, from digests of its relay', (t) => {
  const clock = new ManualClock(1_000);
  const relay = createNode('n1', clock);
  const [node, other] = ['n2', 'n3'].map((name) => createNode(name, clock, 'a', false));
  if (!node || !other) throw new Error('expected two nodes');
  for (const { quota } of [relay, node, other]) quota.setLimits(LIMITS);
  const members: Readonly<Record<string, [string, number, number]>> = {
    n1: ['127.0.0.1', 1, 0],
    n2: ['127.0.0.1', 2, 0],
    n3: ['127.0.0.1', 3, 0],
  };
  const exchange = (isFirst: boolean): void => {
    const reports = [node, other].map(({ sync }) => sync.createReport(WITH_TOTALS));
    for (const report of reports) relay.sync.applyReport(report, isFirst);
    const heard = Object.fromEntries(
      reports.map(({ node: id, life, sequence }): [string, [number, number, number]] => [
        id,
        [life, sequence, 0],
      ]),
    );
    const digest = { ...relay.sync.createDigest(members), heard };
    for (const { sync } of [node, other]) sync.applyDigest(digest);
  };
  exchange(true);
  node.loadTracker.add('r1', { requests: 2, prefillTokens: 100, kvTokens: 300 });
  other.loadTracker.add('r1', { requests: 1, prefillTokens: 10, kvTokens: 20 });
  relay.loadTracker.add('r1', { requests: 4, prefillTokens: 0, kvTokens: 40 });
  t.true(node.quota.tryTake('team', 30));
  t.true(other.quota.tryTake('team', 20));
  t.true(relay.quota.tryTake('team', 10));
  exchange(false);
  for (const { loadTracker, quota } of [relay, node, other]) {
    t.deepEqual(loadTracker.workAt('r1'), { requests: 7, prefillTokens: 110, kvTokens: 360 });
    t.true(quota.tryTake('team', 40));
    t.false(quota.tryTake('team', 1));
  }
});

// Guards against counting use twice when the reports of a node count again after digests did.
test('pattern: large failure domain; use that a digest covered is not subtracted again when its relays are gone', (t) => {
  const clock = new ManualClock(1_000);
  const relay = createNode('n1', clock);
  const [node, other] = ['n2', 'n3'].map((name) => createNode(name, clock, 'a', false));
  if (!node || !other) throw new Error('expected two nodes');
  const limits = new Map([['team', { perSecond: 1, burst: 100 }]]);
  for (const { quota } of [relay, node, other]) quota.setLimits(limits);
  const exchange = (isFirst: boolean): void => {
    const report = other.sync.createReport(WITH_TOTALS);
    node.sync.applyReport(report, isFirst);
    relay.sync.applyReport(report, isFirst);
    const { life, sequence } = node.sync.createReport(WITH_TOTALS);
    const heard: Readonly<Record<string, [number, number, number]>> = { n2: [life, sequence, 0] };
    node.sync.applyDigest({ ...relay.sync.createDigest({}), heard });
  };
  node.sync.applyReport(other.sync.createReport(WITH_TOTALS), true);
  exchange(true);
  t.true(other.quota.tryTake('team', 60));
  exchange(false);
  clock.advance(1_600);
  node.sync.applyReport(other.sync.createReport(WITH_TOTALS), false);
  t.true(node.quota.tryTake('team', 40));
  // What was refilled meanwhile.
  node.quota.tryTake('team', 2);
  t.false(node.quota.tryTake('team', 1));
});

// Guards against nodes that send a runner the usual requests because only others heard that it is cold.
test('pattern: large deployment; what a runner states of its cold time reaches all nodes, and its end too', (t) => {
  const clock = new ManualClock();
  const [member, relay] = [createNode('n1', clock), createNode('n2', clock)];
  const remote = createNode('m1', clock, 'b');
  const all = [member, relay, remote].map(({ limits }) => limits.cold);
  for (const cold of all) {
    cold.setServices([{ name: 's', coldPerS: 4 }]);
    cold.recordEntry('r1 1', 's', 0);
  }
  const exchange = (): void => {
    clock.advance(200);
    relay.sync.applyReport(NodeReport.parse(member.sync.createReport(WITH_TOTALS)), false);
    clock.advance(200);
    remote.sync.applyDigest(DomainDigest.parse(relay.sync.createDigest({})));
  };
  t.is(member.sync.createReport(WITH_TOTALS).cold, undefined);
  clock.advance(10);
  member.limits.cold.record('r1 1', 5_000);
  exchange();
  for (const cold of all) t.is(cold.remainingMs('r1 1'), 4_600);
  member.limits.cold.record('r1 1', 0);
  exchange();
  for (const cold of all) t.is(cold.remainingMs('r1 1'), 0);
});

const SLOW = { service: 's', runner: 'slow 1', kind: 'k', ratio: 4 };
const USUAL = { ...SLOW, runner: 'usual 1', ratio: 1 };

function learnSlow({ speeds }: TestNode, times: number): void {
  speeds.recordMomentary('s', 'slow 1', 1);
  for (let count = 0; count < times; count += 1) {
    speeds.record(USUAL);
    speeds.record(SLOW);
  }
}

function samplesAt({ speeds }: TestNode): number {
  return Math.round(speeds.estimateOf('slow 1')?.samples ?? 0);
}

test('speeds are absent from reports and digests while no runner states a momentary speed', (t) => {
  const node = createNode('n', new ManualClock());
  node.speeds.record(SLOW);
  t.false('speeds' in node.sync.createReport(WITH_TOTALS));
  t.false('speeds' in node.sync.createDigest({ n: ['127.0.0.1', 1, 0] }));
});

// Guards against samples that count twice: in the report of a node and in the digest of its domain.
test('speeds reach another domain by its digest, and each sample counts once', (t) => {
  const clock = new ManualClock();
  const member = createNode('m', clock, 'a', false);
  const relay = createNode('r', clock, 'a', true);
  const remote = createNode('x', clock, 'b', true);
  learnSlow(member, 6);
  learnSlow(relay, 4);
  const report = member.sync.createReport(WITH_TOTALS);
  relay.sync.applyReport(report, true);
  t.is(samplesAt(relay), 10);
  remote.sync.applyReport(report, true);
  t.is(samplesAt(remote), 6);
  const members = { r: ['127.0.0.1', 1, 0], m: ['127.0.0.1', 2, 0] } satisfies Parameters<
    PeerStateSync['createDigest']
  >[0];
  const digest = relay.sync.createDigest(members);
  remote.sync.applyDigest(digest);
  remote.sync.applyReport(report, false);
  t.is(samplesAt(remote), 10);
  const heard = { m: [1, report.sequence, 0] } satisfies typeof digest.heard;
  member.sync.applyDigest({ ...digest, heard });
  t.is(samplesAt(member), 10);
  clock.advance(3_000);
  remote.sync.applyReport(report, false);
  t.is(samplesAt(remote), 6, 'without the digest the reports count again');
});
