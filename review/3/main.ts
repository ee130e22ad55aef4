import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { freeAddresses } from '../../packages/standins/src/node/free-addresses.ts';
import { send } from '../lib/caller.ts';
import type { Answer } from '../lib/caller.ts';
import { Deployment } from '../lib/deployment.ts';
import { Recorder } from '../lib/recorder.ts';
import { BrittleRunner } from './brittle-runner.ts';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const NODES = 3;
const RUNNERS = 3;
/** Rejections in a second from which a brittle runner falls over. */
const MOST = 5;
/** Share of what the runners can work off that the consumers ask for. */
const LOAD = Number(process.env.LOAD ?? '0.8');
const CAPACITY_PER_S = RUNNERS * 4 * 10;
const CALM_MS = 3_000;
const BRITTLE_MS = 25_000;
const HEARTBEAT_MS = 1_200;
const TIME_LIMIT_MS = 4_000;

const recorder = new Recorder(process.env.RECORD ?? 'review/3/record.txt');
const deployment = await Deployment.open();
const { store } = deployment;
const addresses = await freeAddresses(RUNNERS);

function configuration(): object {
  return {
    version: 1,
    routes: ['non_idempotent', 'idempotent'].map((kind, index) => ({
      name: kind,
      host: 'desk.example',
      path_prefix: index === 0 ? '/order/' : '/read/',
      kind,
      timeout_ms: TIME_LIMIT_MS,
      target_latency_ms: 300,
      priority: 1,
      service: 'app',
      max_attempts: 2,
    })),
    services: [{ name: 'app', health_path: '/health', max_connections: 110 }],
    tenants: [{ name: 'novak', api_keys: ['key-1'] }],
    limits: {
      max_header_bytes: 8_192,
      max_body_bytes: 100_000,
      header_timeout_ms: 5_000,
      idle_timeout_ms: 15_000,
    },
  };
}

const runners = addresses.map((address, index) => {
  const id = `i-${index}`;
  let born: number | undefined;
  let sequence = 0;
  const beat = (): void => {
    if (born === undefined) return;
    sequence += 1;
    const entry = {
      service: 'app',
      address,
      zone: ['a', 'b', 'c'][index],
      version: 'v1',
      slots: 4,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence,
      born,
    };
    store.put('keyed.servers', id, JSON.stringify(entry));
  };
  const timer = setInterval(beat, HEARTBEAT_MS);
  const runner = new BrittleRunner({
    id,
    address,
    recorder,
    onBoot: (at) => {
      born = at;
      beat();
    },
  });
  return { runner, timer };
});

const agents = Array.from({ length: NODES }, () => new Agent({ keepAlive: true }));
const answers = new Map<string, Answer>();
const pending = new Set<Promise<void>>();

/** One try at a node; a refused request is tried once more at another node, when it says so. */
async function ask(id: string, kind: string): Promise<void> {
  const endsAt = performance.now() + TIME_LIMIT_MS;
  for (const attempt of [1, 2]) {
    const requestId = `${id}-${attempt}`;
    const node = Math.floor(Math.random() * NODES);
    const remainingMs = endsAt - performance.now();
    recorder.add('sent', requestId, 'to', `n${node}`);
    const answer = await send({
      address: deployment.nodes[node]?.callers ?? '',
      method: kind === 'order' ? 'POST' : 'GET',
      path: `/${kind}/1`,
      headers: {
        Host: 'desk.example',
        'Request-Id': requestId,
        'Deadline-Ms': String(Math.floor(remainingMs)),
        'X-Api-Key': 'key-1',
      },
      ...(kind === 'order' ? { body: `order ${requestId}` } : {}),
      timeoutMs: remainingMs,
      ...(agents[node] ? { agent: agents[node] } : {}),
    });
    answers.set(requestId, answer);
    recorder.add('answered', requestId, answer.status ?? answer.failure ?? 'nothing');
    if (answer.status !== 503 && answer.status !== 429) return;
    const afterMs = Number(answer.headers['retry-after'] ?? 0) * 1_000;
    if (afterMs > (endsAt - performance.now()) / 3) return;
    await sleep(afterMs);
  }
}

async function load(untilMs: number): Promise<void> {
  const startedAt = performance.now();
  let at = startedAt;
  for (let index = 0; at < startedAt + untilMs; index += 1) {
    at += (-Math.log(1 - Math.random()) * 1_000) / (CAPACITY_PER_S * LOAD);
    const waitMs = at - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    const asked = ask(`r${index}`, index % 2 === 0 ? 'order' : 'read').finally(() => {
      pending.delete(asked);
    });
    pending.add(asked);
  }
  await Promise.all(pending);
}

let exitCode = 2;
try {
  store.put('keyed.op', 'config', JSON.stringify(configuration()));
  for (const { runner } of runners) await runner.start();
  await deployment.start({ nodes: NODES });
  const loaded = load(CALM_MS + BRITTLE_MS);
  await sleep(CALM_MS);
  if (HAS_TROUBLE) {
    recorder.add('all runners are brittle');
    for (const { runner } of runners) runner.setBrittle(MOST);
  }
  await loaded;
  const falls = runners.reduce((sum, { runner }) => sum + runner.falls, 0);
  const lost = runners.flatMap(({ runner }) => runner.lost);
  const lostOrders = lost.filter((id) => {
    const answer = answers.get(id);
    return answer !== undefined && answer.status !== 200;
  });
  const allowed = 2 + RUNNERS / 10;
  const statuses = new Map<string, number>();
  for (const { status, failure } of answers.values()) {
    const key = String(status ?? failure);
    statuses.set(key, (statuses.get(key) ?? 0) + 1);
  }
  const summary = [
    `requests ${answers.size}: ${[...statuses].map(([key, count]) => `${key} ${count}`).join(', ')}`,
    `runners fell over ${falls} times; at most ${allowed} are allowed (LIMIT)`,
    `${lost.length} requests were at work there; ${lostOrders.length} got no success`,
    `processes of the system that ended by themselves: ${deployment.ownEnds.length}`,
  ];
  for (const line of summary) {
    recorder.add(line);
    console.log(line);
  }
  exitCode = falls > allowed ? 1 : 0;
} catch (error) {
  console.log(error);
} finally {
  for (const { runner, timer } of runners) {
    clearInterval(timer);
    await runner.close();
  }
  for (const agent of agents) agent.destroy();
  await deployment.close();
  await recorder.close();
}
process.exit(exitCode);
