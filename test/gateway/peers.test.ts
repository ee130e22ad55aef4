import { createSocket } from 'node:dgram';
import { Writable } from 'node:stream';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { SharedQuota } from '@ragwortrudder/admission';
import { SystemClock } from '@ragwortrudder/core';
import { DecisionLog } from '../../packages/gateway/src/node/decision-log.ts';
import { PeerReports } from '../../packages/gateway/src/node/peer-reports.ts';
import { Peers } from '../../packages/gateway/src/node/peers.ts';
import { DemandMeter } from '../../packages/gateway/src/utils/demand-meter.ts';
import { LoadBoard } from '../../packages/gateway/src/utils/load-board.ts';
import { TrueTime } from '../../packages/gateway/src/utils/true-time.ts';
import { UsageCounter } from '../../packages/gateway/src/utils/usage-counter.ts';

interface Node {
  readonly id: string;
  readonly failureDomain: string;
  readonly port: number;
  readonly peers: Peers;
  readonly board: LoadBoard;
}

const HOST = '127.0.0.1';

async function freePort(): Promise<number> {
  const socket = createSocket('udp4');
  await new Promise<void>((resolve) => {
    socket.bind(0, HOST, resolve);
  });
  const { port } = socket.address();
  await new Promise<void>((resolve) => {
    socket.close(resolve);
  });
  return port;
}

async function startNode(t: ExecutionContext, id: string, failureDomain: string): Promise<Node> {
  const clock = new SystemClock();
  const port = await freePort();
  const board = new LoadBoard(clock);
  const out = new Writable({
    write: (_chunk, _encoding, done) => {
      done();
    },
  });
  const reports = new PeerReports({
    node: id,
    address: { host: HOST, port },
    failureDomain,
    life: 1,
    clock,
    board,
    quota: new SharedQuota(clock),
    usage: new UsageCounter(5_000, id),
    demand: new DemandMeter(clock),
    trueTime: new TrueTime(clock),
    dutyToken: () => 0,
  });
  const peers = new Peers({
    node: id,
    address: { host: HOST, port },
    failureDomain,
    clock,
    log: new DecisionLog({ node: id, out, clock }),
    duty: () => 0,
    report: (extent) => reports.own(extent),
    digest: (members) => reports.digest(members),
    onReport: (report, isFirst) => {
      reports.take(report, isFirst);
    },
    onDigest: (digest) => {
      reports.takeDigest(digest);
    },
    onPrompt: ({ node, runner, tokens }) => {
      board.notice(node, runner, tokens);
    },
    onFeed: () => undefined,
  });
  t.teardown(() => peers.close());
  return { id, failureDomain, port, peers, board };
}

/** Starts nodes that know one another from the list of nodes: so many in each failure domain. */
async function deployment(
  t: ExecutionContext,
  sizes: Readonly<Record<string, number>>,
): Promise<readonly Node[]> {
  const nodes: Node[] = [];
  for (const [failureDomain, size] of Object.entries(sizes)) {
    for (let index = 0; index < size; index += 1) {
      nodes.push(await startNode(t, `${failureDomain}${index}`, failureDomain));
    }
  }
  for (const { peers } of nodes) {
    await peers.start();
    for (const { id, port, failureDomain } of nodes) {
      peers.introduce(id, { host: HOST, port }, failureDomain);
    }
  }
  for (const { peers } of nodes) await peers.tellAll();
  return nodes;
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 20));
}

test('pattern: large deployment with uneven failure domains; all nodes are heard everywhere', async (t) => {
  const nodes = await deployment(t, { a: 3, b: 24 });
  await until(() => nodes.every(({ peers }) => peers.heard === nodes.length));
  t.deepEqual(
    nodes.filter(({ peers }) => peers.isRelay).map(({ id }) => id),
    ['a0', 'a1', 'b0', 'b1'],
  );
});

test('pattern: large deployment; work of one domain is known in another by its relays', async (t) => {
  const nodes = await deployment(t, { a: 9, b: 9 });
  await until(() => nodes.every(({ peers }) => peers.heard === nodes.length));
  const [sender] = nodes;
  const far = nodes.at(-1);
  sender?.board.add('r1', { requests: 2, prefillTokens: 500, kvTokens: 900 });
  await until(() => far?.board.workAt('r1').requests === 2);
  t.is(far?.board.workAt('r1').prefillTokens, 500);
});
