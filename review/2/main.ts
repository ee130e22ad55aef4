import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { freeAddresses } from '../../packages/standins/src/node/free-addresses.ts';
import { send } from '../lib/caller.ts';
import { configuration } from '../lib/configuration.ts';
import { Deployment } from '../lib/deployment.ts';
import { entry } from '../lib/entry.ts';
import { Recorder } from '../lib/recorder.ts';
import { SoundRunner } from '../lib/sound-runner.ts';
import { UsagePlatform } from '../lib/usage-platform.ts';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const NODES = 3;
const WINDOW_MS = 5_000;
const WORK_MS = 2_500;
const REQUESTS_PER_S = 20;
const TIME_LIMIT_MS = 4_000;
const HEARTBEAT_MS = 1_200;
/** Age of the copy from which the store comes back, and the time for which it is away. */
const COPY_AGE_MS = 2_000;
const AWAY_MS = 1_000;
/** Time between the stops of two nodes. */
const ROLL_GAP_MS = 2_000;
/** Nodes that are stopped, each the one that has acted last. */
const STOPS = 2;
const POLL_MS = 50;
const TRAFFIC_MS = 40_000;

const recorder = new Recorder(process.env.RECORD ?? 'review/2/record.txt');
const deployment = await Deployment.open();
const { store } = deployment;
const platform = new UsagePlatform(recorder);
const addresses = await freeAddresses(2);
const runners = addresses.map((address, index) => {
  return new SoundRunner({ id: `i-${index}`, address, recorder, workMs: WORK_MS });
});
const born = Date.now();
let sequence = 0;

/** The operator and the runners write what they have written, as after a restore. */
function writeAll(): void {
  sequence += 1;
  for (const [index, address] of addresses.entries()) {
    store.put('keyed.servers', `i-${index}`, entry({ address, born, sequence }));
  }
}
function writeConfiguration(): void {
  const routes = [{ name: 'read', kind: 'idempotent' }] as const;
  store.put('keyed.op', 'config', configuration(1, routes));
}

const agents = Array.from({ length: NODES }, () => new Agent({ keepAlive: true }));
let isDone = false;
const statuses = new Map<string, number>();

async function ask(id: string, node: number): Promise<void> {
  recorder.add('sent', id, 'to', `n${node}`);
  const address = deployment.nodes[node]?.callers ?? '';
  const { status, failure } = await send({
    address,
    method: 'GET',
    path: '/read/1',
    headers: {
      Host: 'desk.example',
      'Request-Id': id,
      'Deadline-Ms': String(TIME_LIMIT_MS),
      'X-Api-Key': 'key-1',
    },
    timeoutMs: TIME_LIMIT_MS,
    ...(agents[node] ? { agent: agents[node] } : {}),
  });
  const answer = String(status ?? failure);
  recorder.add('answered', id, answer);
  statuses.set(answer, (statuses.get(answer) ?? 0) + 1);
}

async function load(): Promise<void> {
  const pending: Promise<void>[] = [];
  for (let index = 0; !isDone; index += 1) {
    pending.push(ask(`r${index}`, index % NODES));
    await sleep(1_000 / REQUESTS_PER_S);
  }
  await Promise.all(pending);
}

/** A drill of the store, and a rolling restart of the nodes that begins while it is away. */
async function disrupt(holder: number): Promise<void> {
  recorder.add('store goes away; holder of the duties is', `n${holder}`);
  store.setFault('reset');
  await sleep(AWAY_MS / 2);
  void rollFrom(holder);
  await sleep(AWAY_MS / 2);
}

/** Stops nodes in turn, each time the one that has acted last for the platform. */
async function rollFrom(first: number): Promise<void> {
  const stopped = new Set<number>();
  for (let next = first; stopped.size < STOPS;) {
    stopped.add(next);
    recorder.add('SIGTERM', `n${next}`);
    deployment.signal(next, 'SIGTERM');
    await sleep(ROLL_GAP_MS);
    while (!isDone && stopped.has(next)) {
      await sleep(POLL_MS);
      next = Number(platform.acts.at(-1)?.holder.slice(1));
    }
  }
}

const copies: { readonly at: number; readonly copy: ReturnType<typeof store.copy> }[] = [];
const copying = setInterval(() => {
  copies.push({ at: performance.now(), copy: store.copy() });
}, 100);

let exitCode = 2;
const beats = setInterval(writeAll, HEARTBEAT_MS);
try {
  await platform.start();
  for (const runner of runners) await runner.start();
  writeAll();
  writeConfiguration();
  await deployment.start({ nodes: NODES, cloud: platform.address });
  const startedAt = performance.now();
  const loaded = load();
  // Two windows are reported in calm.
  await sleep(2 * WINDOW_MS + 3_000);
  if (HAS_TROUBLE) {
    const reported = new Promise<{ readonly window: number; readonly holder: string }>(
      (resolve) => {
        platform.onReport = (window, holder) => {
          resolve({ window, holder });
        };
      },
    );
    const { window, holder } = await reported;
    const reportedAt = performance.now();
    recorder.add('window', window, 'was reported by', holder);
    const old = copies.filter(({ at }) => at <= reportedAt + AWAY_MS - COPY_AGE_MS).at(-1);
    await disrupt(Number(holder.slice(1)));
    if (!old) throw new Error('no copy of the store is old enough');
    recorder.add(
      'store is back from a copy of an age of',
      Math.round(performance.now() - old.at),
      'ms',
    );
    store.restore(old.copy);
    store.setFault('none');
    writeConfiguration();
    writeAll();
  }
  await sleep(Math.max(0, TRAFFIC_MS - (performance.now() - startedAt)));
  isDone = true;
  await loaded;
  const summary = [
    `answers: ${[...statuses].map(([key, count]) => `${key} ${count}`).join(', ')}`,
    `windows reported: ${platform.windows}`,
    `windows reported with different counts: ${platform.conflicts.length} (ONE allows none)`,
    ...platform.conflicts,
    `processes of the system that ended by themselves: ${deployment.ownEnds.length}`,
  ];
  for (const line of summary) {
    recorder.add(line);
    console.log(line);
  }
  if (process.env.KEEP_LOGS) {
    for (let index = 0; index < NODES; index += 1) recorder.add(deployment.logOf(index));
  }
  exitCode = platform.conflicts.length > 0 ? 1 : 0;
} catch (error) {
  console.log(error);
} finally {
  clearInterval(beats);
  clearInterval(copying);
  for (const runner of runners) await runner.close();
  for (const agent of agents) agent.destroy();
  await deployment.close();
  await platform.close();
  await recorder.close();
}
process.exit(exitCode);
