import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { SeededRandom } from '@ragwortrudder/core';
import {
  ENDLESS_REQUESTS,
  ENDLESS_RESPONSES,
  EndlessFaults,
  SoakRunner,
  statusOf,
  StoreWriter,
} from '@ragwortrudder/soak';
import { KeyedStore, parseAddress } from '@ragwortrudder/standins';

const MANY_BYTES = 1_000_000;
const POLL_MS = 10;
/** Time by which each fault lasts longer than planned, in milliseconds. */
const CONTACT_MS = 3_000;

/** Sends a request and counts the bytes of its response. */
function openCall(t: ExecutionContext, address: string, path: string, head = '') {
  const { host, port } = parseAddress(address);
  const socket = connect(port, host);
  const call = { bytes: 0, isClosed: false };
  socket.on('data', (bytes) => (call.bytes += bytes.length));
  socket.on('error', () => undefined);
  socket.on('close', () => (call.isClosed = true));
  socket.write(`GET ${path} HTTP/1.1\r\nHost: a\r\n${head}\r\n`);
  t.teardown(() => socket.destroy());
  return call;
}

async function startStandIns(t: ExecutionContext, nodeAddress = '') {
  const store = await new KeyedStore().listen();
  const storeAddresses = [await store.addAddress(), await store.addAddress()];
  const runner = new SoakRunner({
    id: 'r0',
    onRun: () => undefined,
    onDisturbed: () => undefined,
    onCrash: () => undefined,
  });
  await runner.listen();
  t.teardown(async () => {
    await store.close();
    await runner.close();
  });
  const storeWriter = new StoreWriter({
    ...{ store, teams: [{ name: 't', apiKey: 'k' }], random: new SeededRandom(1) },
    runners: [{ runner, service: 'work', failureDomain: 'a', address: runner.address }],
  });
  const nodeAddresses = [nodeAddress];
  const slowCallers: string[] = [];
  const faults = new EndlessFaults({
    ...{ store, storeWriter, storeAddresses, nodeAddresses, apiKey: 'k' },
    startSlowCaller: (name) => {
      slowCallers.push(name);
      return { close: () => Promise.resolve() };
    },
  });
  return { store, storeAddresses, storeWriter, runner, faults, slowCallers };
}

const RUNNER_HEAD = 'Request-Id: a\r\nTarget-Instance: r0\r\n';

test('a runner and the store send each variant without end, until the fault ends', async (t) => {
  const run = async (variant: string): Promise<void> => {
    const { faults, runner, storeAddresses } = await startStandIns(t);
    const [first = '', second = ''] = storeAddresses;
    const fault = { atMs: 0, forMs: 0, target: 0, variant };
    const ends = [
      faults.inject({ ...fault, kind: 'runner-endless' }),
      faults.inject({ ...fault, kind: 'store-endless' }),
    ];
    const calls = [
      openCall(t, runner.address, '/read/x', RUNNER_HEAD),
      openCall(t, runner.address, '/ask/x?events=5', RUNNER_HEAD),
      openCall(t, first, '/log-newest?topic=a'),
    ];
    while (calls.some(({ bytes }) => bytes < MANY_BYTES)) await sleep(POLL_MS);
    t.false(
      calls.some(({ isClosed }) => isClosed),
      variant,
    );
    const probe = { path: '/log-newest?topic=a', headers: {}, timeoutMs: 1_000 };
    t.is(await statusOf({ ...probe, address: second }), 200, variant);
    await Promise.all(ends);
    while (calls.some(({ isClosed }) => !isClosed)) await sleep(POLL_MS);
    t.is(await statusOf({ ...probe, address: first }), 200, variant);
    const headers = { 'Request-Id': 'b', 'Target-Instance': 'r0' };
    const sound = { address: runner.address, path: '/read/x', headers, timeoutMs: 1_000 };
    t.is(await statusOf(sound), 200, variant);
  };
  await Promise.all(Object.keys(ENDLESS_RESPONSES).map(run));
});

test('the target after the last node is the store of all nodes', async (t) => {
  const { faults, storeAddresses } = await startStandIns(t);
  const end = faults.inject({
    ...{ kind: 'store-endless', atMs: 0, forMs: 0, target: 2, variant: 'chunks' },
  });
  const calls = storeAddresses.map((address) => openCall(t, address, '/log-newest?topic=a'));
  while (calls.some(({ bytes }) => bytes < MANY_BYTES)) await sleep(POLL_MS);
  await end;
  t.pass();
});

test('a caller sends each variant without end, on eight connections that it opens again', async (t) => {
  const run = async (variant: string): Promise<void> => {
    let bytes = 0;
    let connections = 0;
    let open = 0;
    let maxOpen = 0;
    const heads = new Set<string>();
    const server = createServer((socket) => {
      connections += 1;
      open += 1;
      maxOpen = Math.max(maxOpen, open);
      socket.once('data', (head) => heads.add(head.toString()));
      socket.on('data', (chunk) => (bytes += chunk.length));
      socket.on('error', () => undefined);
      socket.on('close', () => (open -= 1));
      if (connections <= 8) setTimeout(() => socket.destroy(), 500);
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    t.teardown(() => server.close());
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const { faults } = await startStandIns(t, address);
    const startedAt = performance.now();
    await faults.inject({ kind: 'caller-endless', atMs: 0, forMs: 0, target: 0, variant });
    t.true(performance.now() - startedAt < CONTACT_MS + 1_000, variant);
    while (open > 0) await sleep(POLL_MS);
    t.true(bytes > MANY_BYTES, variant);
    t.is(maxOpen, 8, variant);
    t.is(connections, 16, variant);
    const hasKey = [...heads].some((head) => head.includes('X-Api-Key: k\r\n'));
    t.is(hasKey, !/blank-lines|unknown key/.test(variant), variant);
  };
  await Promise.all(Object.keys(ENDLESS_REQUESTS).map(run));
});

test('a fault of slow bodies starts four callers', async (t) => {
  const { faults, slowCallers } = await startStandIns(t);
  await faults.inject({ kind: 'caller-slow-body', atMs: 0, forMs: 0, target: 0 });
  t.is(new Set(slowCallers).size, 4);
});

test('changes in a series begin within 50 ms, and all end', async (t) => {
  const { store, storeWriter } = await startStandIns(t);
  storeWriter.configure();
  const versions = (): number => store.copy().get('keyed.op')?.records.length ?? 0;
  const newest = (): unknown => {
    const text = store.copy().get('keyed.op')?.records.at(-1)?.value.toString() ?? '{}';
    const { routes, tenants } = JSON.parse(text) as {
      readonly routes: readonly object[];
      readonly tenants: object;
    };
    return { routes: routes.slice(0, -1), tenants };
  };
  const before = newest();
  const startedAt = performance.now();
  const end = storeWriter.changeInSeries(5, 300);
  while (versions() < 5) await sleep(1);
  t.true(performance.now() - startedAt < 150);
  t.notDeepEqual(newest(), before);
  await end;
  t.is(versions(), 9);
  t.deepEqual(newest(), before);
});
