import { spawn } from 'node:child_process';
import { request as sendRequest } from 'node:http';
import { createInterface } from 'node:readline';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { KeyedStore } from '@ragwortrudder/standins';
import { EndlessServer } from '../core/endless-server.ts';
import { SteadyRunner } from '../gateway/steady-runner.ts';
import { OddPagesServer } from './odd-pages-server.ts';
import { SwitchedStore } from './switched-store.ts';

const PROGRAM = new URL('store-node.ts', import.meta.url).pathname;
const MB = 1024 * 1024;
const MS_PER_S = 1_000;
const CALLS = 60;
const CALL_INTERVAL_MS = 50;
/** Time-out of the route. */
const TIMEOUT_MS = 1_000;
const START_MS = 10_000;
const OK = 200;
/** Growth for a page of each topic, copied while it is read and decoded, and for what is collected late. */
const MAX_GROWTH_BYTES = 128 * MB;
/** Reads of a topic in a second: the configuration is followed by reads of a second each. */
const MAX_READS_PER_S = 8;

const CONFIGURATION = {
  version: 1,
  routes: [
    {
      ...{ name: 'route', host: 'a.example', path_prefix: '/p/', kind: 'idempotent', service: 's' },
      ...{ timeout_ms: TIMEOUT_MS, target_latency_ms: 300, max_attempts: 2 },
    },
  ],
  services: [{ name: 's', health_path: '/health', max_connections: 100 }],
  tenants: [{ name: 'team', api_keys: ['key'] }],
  limits: {
    max_header_bytes: 8_192,
    max_body_bytes: 100_000,
    header_timeout_ms: 2_000,
    idle_timeout_ms: 5_000,
  },
};

interface NodeReport {
  readonly growthBytes: number;
  readonly cpuMs: number;
  readonly served: number;
}

function call(port: number, id: string): Promise<number> {
  return new Promise((resolve) => {
    const client = sendRequest({
      ...{ host: '127.0.0.1', port, method: 'POST', path: '/p/x', agent: false },
      headers: {
        ...{ Host: 'a.example', 'Request-Id': id, 'X-Api-Key': 'key' },
        ...{ 'Deadline-Ms': String(TIMEOUT_MS), 'Content-Length': '0' },
      },
    });
    client.on('error', () => {
      resolve(0);
    });
    client.on('response', (response) => {
      response.resume();
      response.once('end', () => {
        resolve(response.statusCode ?? 0);
      });
    });
    client.end();
  });
}

type StoredRecords = Readonly<Record<string, readonly [key: string, value: string]>>;

/** Starts a runner, and returns the records of a site with it. */
async function startSite(t: ExecutionContext): Promise<StoredRecords> {
  const runner = await new SteadyRunner({ events: 0 }).listen();
  t.teardown(() => runner.close());
  const entry = {
    ...{ service: 's', address: `127.0.0.1:${runner.port}`, zone: 'a', version: 'v1' },
    ...{ slots: 8, state: 'ready', born: 1 },
  };
  return {
    'keyed.op': ['config', JSON.stringify(CONFIGURATION)],
    'keyed.servers': ['r1', JSON.stringify(entry)],
  };
}

/** Runs a node whose store is sound until it is ready, and then another one on `port`. */
async function runNode(
  t: ExecutionContext,
  records: StoredRecords,
  port: number,
): Promise<NodeReport> {
  const store = await new KeyedStore().listen();
  for (const [topic, [key, value]] of Object.entries(records)) store.put(topic, key, value);
  const front = await new SwitchedStore(Number(store.address.split(':')[1])).listen();
  t.teardown(async () => {
    front.close();
    await store.close();
  });
  const child = spawn(process.execPath, ['--import=tsx', PROGRAM, front.address], {
    stdio: ['pipe', 'pipe', 'inherit'],
  });
  const lines = createInterface({ input: child.stdout })[Symbol.asyncIterator]();
  const nextLine = async (): Promise<unknown> => JSON.parse(String((await lines.next()).value));
  const { callers } = (await nextLine()) as { readonly callers: number };
  const deadline = performance.now() + START_MS;
  while ((await call(callers, 'first')) !== OK && performance.now() < deadline) await sleep(50);
  child.stdin.write('\n');
  front.switchTo(port);
  const statuses: Promise<number>[] = [];
  for (let index = 0; index < CALLS; index += 1) {
    statuses.push(call(callers, `q${index}`));
    await sleep(CALL_INTERVAL_MS);
  }
  const served = (await Promise.all(statuses)).filter((status) => status === OK).length;
  child.stdin.end();
  const report = (await nextLine()) as Pick<NodeReport, 'growthBytes' | 'cpuMs'>;
  return { ...report, served };
}

// Guards against: a store whose bytes never end took the memory of a node, and its callers with it (LOST).
for (const kind of EndlessServer.kinds) {
  test.serial(
    `a node serves its callers beside a store that sends ${kind} without end`,
    async (t) => {
      const endless = await new EndlessServer({ kind, sound: '' }).listen();
      t.teardown(() => {
        endless.close();
      });
      const report = await runNode(t, await startSite(t), endless.port);
      t.is(report.served, CALLS);
      t.true(
        report.growthBytes < MAX_GROWTH_BYTES,
        `${Math.round(report.growthBytes / MB)} MB more`,
      );
    },
  );
}

// Guards against: a topic without end, or one whose reads never wait, took the node's memory or its processor.
for (const kind of ['empty', 'expired', 'full', 'newest'] as const) {
  test.serial(
    `a node serves its callers beside a store whose pages do not end: ${kind}`,
    async (t) => {
      const records = await startSite(t);
      const odd = await new OddPagesServer({ kind, records }).listen();
      t.teardown(() => {
        odd.close();
      });
      const report = await runNode(t, records, odd.port);
      t.is(report.served, CALLS);
      t.true(
        report.growthBytes < MAX_GROWTH_BYTES,
        `${Math.round(report.growthBytes / MB)} MB more`,
      );
      const seconds = (CALLS * CALL_INTERVAL_MS) / MS_PER_S;
      // Pages with new records are read as fast as they are applied.
      if (kind === 'full' || kind === 'newest') return;
      t.true(odd.calls < MAX_READS_PER_S * seconds, `${odd.calls} calls`);
    },
  );
}
