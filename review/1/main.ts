import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { freeAddresses } from '../../packages/standins/src/node/free-addresses.ts';
import { conflictsOf } from '../lib/acts.ts';
import { send } from '../lib/caller.ts';
import { configuration } from '../lib/configuration.ts';
import { Deployment } from '../lib/deployment.ts';
import { entry } from '../lib/entry.ts';
import { Recorder } from '../lib/recorder.ts';
import { SoundRunner } from '../lib/sound-runner.ts';
import { UsagePlatform } from '../lib/usage-platform.ts';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const NODES = 3;
const REQUESTS_PER_S = 30;
const TIME_LIMIT_MS = 4_000;
const HEARTBEAT_MS = 1_200;
const CALM_MS = 10_000;
const ROLL_GAP_MS = 2_000;
/** Time after which the write is done whose answer was lost. */
const LATE_MS = 5_800;
/** `contact_ms` and `lease_ms` of the sheet. */
const CONTACT_MS = 3_000;
const LEASE_MS = 3_000;
const TRAFFIC_MS = 75_000;

const recorder = new Recorder(process.env.RECORD ?? 'review/1/record.txt');
const deployment = await Deployment.open();
const { store } = deployment;
const platform = new UsagePlatform(recorder);
const storeAddresses = await Promise.all(Array.from({ length: NODES }, () => store.addAddress()));
const addresses = await freeAddresses(2);
const runners = addresses.map((address, index) => {
  return new SoundRunner({ id: `i-${index}`, address, recorder, workMs: 60 });
});
const born = Date.now();
let sequence = 0;

function beat(): void {
  sequence += 1;
  for (const [index, address] of addresses.entries()) {
    store.put('keyed.servers', `i-${index}`, entry({ address, born, sequence }));
  }
}

const agents = Array.from({ length: NODES }, () => new Agent({ keepAlive: true }));
const statuses = new Map<string, number>();
let isDone = false;

async function ask(id: string, node: number): Promise<void> {
  recorder.add('sent', id, 'to', `n${node}`);
  const { status, failure } = await send({
    address: deployment.nodes[node]?.callers ?? '',
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

/** The answer to the next write of `n0` about itself is lost, and the write is done seconds later. */
function loseNextWrite(): Promise<void> {
  const port = Number(storeAddresses[0]?.split(':')[1]);
  return new Promise((resolve) => {
    store.intercept((request) => {
      const isLost =
        request.socket.localPort === port &&
        request.method === 'POST' &&
        request.url?.includes('topic=keyed.nodes') === true;
      if (!isLost) return false;
      store.intercept(() => false);
      recorder.add('store loses the answer to', request.method ?? '', request.url ?? '');
      setTimeout(() => {
        store.put('keyed.nodes', 'n0', undefined);
        recorder.add('store has done this write');
        resolve();
      }, LATE_MS);
      return true;
    });
  });
}

async function rollAll(): Promise<void> {
  for (let index = 0; index < NODES; index += 1) {
    recorder.add('SIGTERM', `n${index}`);
    deployment.signal(index, 'SIGTERM');
    await sleep(ROLL_GAP_MS);
  }
}

let exitCode = 2;
const beats = setInterval(beat, HEARTBEAT_MS);
try {
  await platform.start();
  for (const runner of runners) await runner.start();
  beat();
  store.put('keyed.op', 'config', configuration(1, [{ name: 'read', kind: 'idempotent' }]));
  await deployment.start({
    nodes: NODES,
    cloud: platform.address,
    storeAddressOf: (index) => storeAddresses[index] ?? '',
  });
  const startedAt = performance.now();
  const loaded = load();
  await sleep(CALM_MS);
  const done = HAS_TROUBLE ? loseNextWrite() : Promise.resolve();
  await rollAll();
  await done;
  // The last node is back, and the core has been stable for longer than `contact_ms`.
  await sleep(CONTACT_MS * 3);
  const sinceMs = recorder.nowMs;
  recorder.add('from here on calls count');
  await sleep(Math.max(0, TRAFFIC_MS - (performance.now() - startedAt)));
  isDone = true;
  await loaded;
  const acts = platform.acts.filter(({ at }) => at >= sinceMs);
  const found = conflictsOf(acts, LEASE_MS);
  const holders = new Set(acts.map(({ holder }) => holder));
  const summary = [
    `answers: ${[...statuses].map(([key, count]) => `${key} ${count}`).join(', ')}`,
    `holders that acted after the trouble: ${[...holders].join(', ')}`,
    `holders in the order A, B, A inside lease_ms, or with a lower token: ${found.length} (ONE)`,
    ...found,
    `windows reported with different counts: ${platform.conflicts.length} (ONE)`,
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
  exitCode = found.length + platform.conflicts.length > 0 ? 1 : 0;
} catch (error) {
  console.log(error);
} finally {
  clearInterval(beats);
  for (const runner of runners) await runner.close();
  for (const agent of agents) agent.destroy();
  await deployment.close();
  await platform.close();
  await recorder.close();
}
process.exit(exitCode);
