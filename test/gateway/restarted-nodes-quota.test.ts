import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import { DelayedRunner } from './delayed-runner.ts';
import { freePort } from './free-port.ts';
import { GatewayHarness } from './gateway-harness.ts';
import { headFor } from './scripted-response.ts';
import type { ReceivedRequest } from './scripted-runner.ts';

interface Fleet {
  readonly nodes: readonly GatewayHarness[];
  /** Ends a node at once, as a kill does, and starts it again. */
  readonly restart: (node: GatewayHarness) => Promise<GatewayHarness>;
  /** Calls that runners have received. */
  readonly runCount: () => number;
}

const PER_SECOND = 5;
const BURST = 60;
const QUOTA_WINDOW_MS = 8_000;
/** Longer than the nodes need to hear each other and to exchange what they have used. */
const SETTLE_MS = 700;
const NODE_COUNT = 3;
const OK = 200;
const TOO_MANY_REQUESTS = 429;

class QuickRunner extends DelayedRunner {
  protected respond(socket: Socket, request: ReceivedRequest): void {
    socket.write(`${headFor(request, { framing: ['Content-Length: 2'] })}ok`);
  }
}

async function startFleet(t: ExecutionContext): Promise<Fleet> {
  const log = new MemoryKeyedLog();
  const runner = await new QuickRunner(0).listen();
  const team = { rate_per_s: PER_SECOND, burst: BURST };
  await GatewayHarness.configure({ log, team }, [runner.port]);
  const start = async (node: string): Promise<GatewayHarness> =>
    GatewayHarness.start(t, {
      log,
      node,
      peerPort: await freePort(),
      quotaWindowMs: QUOTA_WINDOW_MS,
    });
  const nodes: GatewayHarness[] = [];
  for (let index = 1; index <= NODE_COUNT; index += 1) nodes.push(await start(`n${index}`));
  t.teardown(() => runner.close());
  // From here on the use before the start of these nodes no longer counts.
  await sleep(QUOTA_WINDOW_MS);
  return {
    nodes,
    restart: async (node) => {
      await node.gateway.close();
      return start(node.settings.node.id);
    },
    runCount: () => runner.arrivals.length,
  };
}

/** Sends calls one after the other; returns how many of them each status had. */
async function statusesOf(
  node: GatewayHarness,
  calls: number,
): Promise<ReadonlyMap<number, number>> {
  const counts = new Map<number, number>();
  for (let call = 0; call < calls; call += 1) {
    const { status } = await node.call();
    counts.set(status, (counts.get(status) ?? 0) + 1);
  }
  return counts;
}

/** Takes the burst at one node, and waits until its peers know. */
async function useUp([first]: readonly GatewayHarness[]): Promise<void> {
  if (!first) throw new Error('expected a node');
  await statusesOf(first, BURST);
  await sleep(SETTLE_MS);
}

function entitledIn(ms: number): number {
  return BURST + (PER_SECOND * ms) / 1_000;
}

// Guards against a node that starts and gives a team its burst again that its peers have given it (QUOTA).
test('pattern: hot team while one node after the other starts again; the team gets no more than its limit', async (t) => {
  const { nodes, restart, runCount } = await startFleet(t);
  const since = performance.now();
  await useUp(nodes);
  for (const node of nodes) {
    const restarted = await restart(node);
    const counts = await statusesOf(restarted, BURST);
    t.true((counts.get(TOO_MANY_REQUESTS) ?? 0) > 0);
  }
  const elapsedMs = performance.now() - since;
  t.true(elapsedMs < QUOTA_WINDOW_MS);
  t.true(runCount() <= entitledIn(elapsedMs) + NODE_COUNT, `${runCount()} in ${elapsedMs} ms`);
});

// Guards against nodes that all start at once and give a team its burst again (QUOTA).
test('pattern: hot team while all nodes start again at once; the team gets no more than its limit', async (t) => {
  const { nodes, restart, runCount } = await startFleet(t);
  const since = performance.now();
  await useUp(nodes);
  const restarted = await Promise.all(nodes.map(restart));
  await Promise.all(restarted.map((node) => statusesOf(node, BURST)));
  const elapsedMs = performance.now() - since;
  t.true(elapsedMs < QUOTA_WINDOW_MS);
  // Each node may overdraw its bucket by one request.
  const allowed = entitledIn(elapsedMs) + 2 * NODE_COUNT;
  t.true(runCount() <= allowed, `${runCount()} in ${elapsedMs} ms`);
});

// Guards against a node that starts and refuses what its peers know to be left.
test('pattern: quiet team while a node starts again; it gets the burst that it has not used', async (t) => {
  const { nodes, restart } = await startFleet(t);
  const [first] = nodes;
  if (!first) throw new Error('expected a node');
  const restarted = await restart(first);
  await sleep(SETTLE_MS);
  const counts = await statusesOf(restarted, BURST - PER_SECOND);
  t.deepEqual([...counts], [[OK, BURST - PER_SECOND]]);
});
