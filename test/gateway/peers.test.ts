import { Writable } from 'node:stream';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { PromptQuarantine, SharedQuota, StatedLimits } from '@ragwortrudder/admission';
import { RunnerDirectory } from '@ragwortrudder/catalog';
import { SystemClock } from '@ragwortrudder/core';
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
}

async function startNode(
  t: ExecutionContext,
  id: string,
  failureDomain: string,
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
    usage: new UsageCounter(5_000, id),
    demand: new DemandMeter(clock),
    directory: new RunnerDirectory({ clock }),
    log: { notable: () => undefined },
    configurationVersion: () => 0,
    onPeerConfiguration: () => undefined,
    limits: new StatedLimits({ clock, node: 'n', rank: (_runner, nodes) => nodes }),
    quarantine: new PromptQuarantine({ clock, trialRank: () => 0 }),
    links: () => NO_LINKS,
    reach: () => new PeerReach(clock),
    rollouts: { evidence: { cells: [] }, setPeerEvidence: () => undefined },
    disciplinedClock: new DisciplinedClock(clock),
    dutyToken: () => 0,
  });
  const peers = new Peers({
    node: id,
    address: { host, port },
    failureDomain,
    clock,
    log: new DecisionLog({ node: id, out, clock }),
    dutyToken: () => 0,
    createReport: (extent) => sync.createReport(extent),
    createDigest: (members) => sync.createDigest(members),
    onReport: (report, isFirst) => {
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
  });
  t.teardown(() => peers.close());
  return { id, failureDomain, host, port, peers, loadTracker };
}

/** Starts the given number of nodes in each failure domain, all known to each other. */
async function startDeployment(
  t: ExecutionContext,
  sizes: Readonly<Record<string, number>>,
): Promise<readonly TestNode[]> {
  const nodes: TestNode[] = [];
  for (const [failureDomain, size] of Object.entries(sizes)) {
    for (let index = 0; index < size; index += 1) {
      nodes.push(await startNode(t, `${failureDomain}${index}`, failureDomain));
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
