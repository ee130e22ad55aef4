import { Writable } from 'node:stream';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { RunnerSpeeds } from '@ragwortrudder/routing';
import type { ExecutionContext } from 'ava';
import {
  BrittleRunners,
  PromptQuarantine,
  SharedQuota,
  StatedLimits,
} from '@ragwortrudder/admission';
import { RunnerDirectory } from '@ragwortrudder/catalog';
import { ProcessorMeter, SystemClock } from '@ragwortrudder/core';
import { freeAddresses, parseAddress } from '@ragwortrudder/standins';
import { DecisionLog } from '../../packages/gateway/src/node/decision-log.ts';
import { PeerStateSync } from '../../packages/gateway/src/node/peer-state-sync.ts';
import { Peers } from '../../packages/gateway/src/node/peers.ts';
import { DemandMeter } from '../../packages/gateway/src/utils/demand-meter.ts';
import { PeerReach } from '../../packages/gateway/src/utils/peer-reach.ts';
import { RunnerLoadTracker } from '../../packages/gateway/src/utils/runner-load-tracker.ts';
import { DisciplinedClock } from '../../packages/gateway/src/utils/disciplined-clock.ts';
import { UsageCounter } from '../../packages/gateway/src/utils/usage-counter.ts';

const NO_LINKS = {
  lost: [],
  reachedFor: () => [],
  probeFor: () => undefined,
  recordReachedByPeer: () => undefined,
};

interface TestNode {
  readonly id: string;
  readonly failureDomain: string;
  readonly host: string;
  readonly port: number;
  readonly peers: Peers;
  readonly loadTracker: RunnerLoadTracker;
  /** Number of reports that have arrived since the last call. */
  readonly takeReportCount: () => number;
}

async function startNode(
  t: ExecutionContext,
  id: string,
  failureDomain: string,
  isOlderBuild = false,
): Promise<TestNode> {
  const clock = new SystemClock();
  const [address = ''] = await freeAddresses(1);
  const { host, port } = parseAddress(address);
  const loadTracker = new RunnerLoadTracker(clock);
  const out = new Writable({
    write: (_chunk, _encoding, done) => {
      done();
    },
  });
  const sync = new PeerStateSync({
    node: id,
    address: { host, port },
    failureDomain,
    incarnation: 1,
    clock,
    loadTracker,
    quota: new SharedQuota(clock),
    quotaExchange: { isAsking: false, levelsFor: () => undefined, receive: () => false },
    peers: () => ({ sendQuotaLevels: () => undefined }),
    usage: new UsageCounter(5_000, id),
    demand: new DemandMeter(clock),
    directory: new RunnerDirectory({ clock }),
    log: { notable: () => undefined },
    configurationVersion: () => 0,
    onPeerConfiguration: () => undefined,
    speeds: new RunnerSpeeds({ clock }),
    brittle: new BrittleRunners({
      clock,
      node: 'n',
      rank: (_runner, nodes) => nodes,
      onChange: () => undefined,
    }),
    limits: new StatedLimits({ clock, node: 'n', rank: (_runner, nodes) => nodes }),
    quarantine: new PromptQuarantine({ clock, trialRank: () => 0 }),
    links: () => NO_LINKS,
    reach: () => new PeerReach(clock),
    rollouts: { evidence: { cells: [] }, setPeerEvidence: () => undefined },
    disciplinedClock: new DisciplinedClock(clock),
    dutyToken: () => 0,
    timing: () => peers.timing,
    isRelay: () => peers.isRelay,
  });
  let reportCount = 0;
  const takeReportCount = (): number => {
    const count = reportCount;
    reportCount = 0;
    return count;
  };
  const peers: Peers = new Peers({
    node: id,
    address: { host, port },
    failureDomain,
    clock,
    log: new DecisionLog({ node: id, out, clock }),
    processor: new ProcessorMeter(),
    dutyToken: () => 0,
    createReport: (extent) => {
      const { readsLocalDigests, ...report } = sync.createReport(extent);
      return isOlderBuild ? report : { ...report, readsLocalDigests };
    },
    createDigest: (members) => sync.createDigest(members),
    onReport: (report, isFirst) => {
      reportCount += 1;
      sync.applyReport(report, isFirst);
    },
    onDigest: (digest) => {
      sync.applyDigest(digest);
    },
    onPromptAnnouncement: ({ node, runner, tokens }) => {
      loadTracker.addAnnouncedPrompt(node, runner, tokens);
    },
    onConfigurationRequest: () => undefined,
    onConfigurationPart: () => undefined,
    onFeed: () => undefined,
    onQuotaLevels: () => undefined,
  });
  t.teardown(() => peers.close());
  return { id, failureDomain, host, port, peers, loadTracker, takeReportCount };
}

/** Starts the given number of nodes in each failure domain, all known to each other. */
async function startDeployment(
  t: ExecutionContext,
  sizes: Readonly<Record<string, number>>,
  olderBuilds: readonly string[] = [],
): Promise<readonly TestNode[]> {
  const nodes: TestNode[] = [];
  for (const [failureDomain, size] of Object.entries(sizes)) {
    for (let index = 0; index < size; index += 1) {
      const id = `${failureDomain}${index}`;
      nodes.push(await startNode(t, id, failureDomain, olderBuilds.includes(id)));
    }
  }
  for (const { peers } of nodes) {
    await peers.start();
    for (const { id, host, port, failureDomain } of nodes) {
      peers.addPeer(id, { host, port }, failureDomain);
    }
  }
  for (const { peers } of nodes) await peers.publishReport();
  return nodes;
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 20));
}

test('pattern: large deployment with uneven failure domains; every node can reach all others', async (t) => {
  const nodes = await startDeployment(t, { a: 3, b: 24 });
  await waitUntil(() => nodes.every(({ peers }) => peers.reachableCount === nodes.length));
  t.deepEqual(
    nodes.filter(({ peers }) => peers.isRelay).map(({ id }) => id),
    ['a0', 'a1', 'b0', 'b1'],
  );
});

test('pattern: large deployment; relays report the work of one domain to another', async (t) => {
  const nodes = await startDeployment(t, { a: 9, b: 9 });
  await waitUntil(() => nodes.every(({ peers }) => peers.reachableCount === nodes.length));
  const [sender] = nodes;
  const remote = nodes.at(-1);
  sender?.loadTracker.add('r1', { requests: 2, prefillTokens: 500, kvTokens: 900 });
  await waitUntil(() => remote?.loadTracker.workAt('r1').requests === 2);
  t.is(remote?.loadTracker.workAt('r1').prefillTokens, 500);
});

const LARGE_DOMAINS = { a: 12, b: 10 };
/** Time for which reports are counted, in milliseconds: at least five periods. */
const COUNTED_MS = 1_600;

function reachableCounts(nodes: readonly TestNode[]): readonly number[] {
  return nodes.map(({ peers }) => peers.reachableCount);
}

async function startLargeDomains(
  t: ExecutionContext,
  olderBuilds: readonly string[] = [],
): Promise<readonly TestNode[]> {
  const nodes = await startDeployment(t, LARGE_DOMAINS, olderBuilds);
  await waitUntil(() => reachableCounts(nodes).every((count) => count === nodes.length));
  await sleep(COUNTED_MS);
  return nodes;
}

async function countReports(nodes: readonly TestNode[]): Promise<ReadonlyMap<string, number>> {
  for (const { takeReportCount } of nodes) takeReportCount();
  await sleep(COUNTED_MS);
  return new Map(nodes.map(({ id, takeReportCount }) => [id, takeReportCount()]));
}

test('pattern: large failure domain; a node gets digests in place of reports, and hears of all others', async (t) => {
  const nodes = await startLargeDomains(t);
  nodes[11]?.loadTracker.add('r1', { requests: 2, prefillTokens: 0, kvTokens: 10 });
  const counts = await countReports(nodes);
  t.is(counts.get('a9'), 0);
  t.is(counts.get('b9'), 0);
  t.true((counts.get('a1') ?? 0) >= 2 * (LARGE_DOMAINS.a - 1));
  t.true(reachableCounts(nodes).every((count) => count === nodes.length));
  t.deepEqual(
    nodes.map(({ loadTracker }) => loadTracker.workAt('r1').requests),
    nodes.map(() => 2),
  );
});

// Guards against taking all nodes of a failure domain for lost, and their quota away, with its relays.
test('pattern: large failure domain; its nodes still hear each other when both relays die', async (t) => {
  const nodes = await startLargeDomains(t);
  const survivors = nodes.filter(({ id }) => id !== 'a0' && id !== 'a1');
  for (const { id, peers } of nodes)
    if (!survivors.some((node) => node.id === id)) await peers.close();
  let least = nodes.length;
  const endAt = Date.now() + 4_000;
  while (Date.now() < endAt) {
    least = Math.min(least, ...reachableCounts(survivors.filter(({ id }) => id.startsWith('a'))));
    await sleep(20);
  }
  t.is(least, survivors.length);
  t.true(reachableCounts(survivors).every((count) => count === survivors.length));
  const counts = await countReports(survivors);
  t.is(counts.get('a9'), 0);
});

test('a failure domain with a node of an older build exchanges reports between all of its nodes', async (t) => {
  const nodes = await startLargeDomains(t, ['a5']);
  const counts = await countReports(nodes);
  t.true((counts.get('a9') ?? 0) >= 2 * (LARGE_DOMAINS.a - 1));
  t.is(counts.get('b9'), 0);
  t.true(reachableCounts(nodes).every((count) => count === nodes.length));
});

// Guards against nodes that stay unknown to each other after a lost entry (ONE).
test('pattern: two nodes that do not know each other; a node that hears both introduces them', async (t) => {
  const [first, middle, last] = await Promise.all([
    startNode(t, 'a0', 'a'),
    startNode(t, 'a1', 'a'),
    startNode(t, 'b0', 'b'),
  ]);
  for (const { peers } of [first, middle, last]) await peers.start();
  for (const { id, host, port, failureDomain } of [first, last])
    middle.peers.addPeer(id, { host, port }, failureDomain);
  await waitUntil(() => middle.peers.reachableCount === 3);
  await waitUntil(() => first.peers.reachableCount === 3 && last.peers.reachableCount === 3);
  t.deepEqual(first.peers.reachableIds().toSorted(), ['a1', 'b0']);
});
