import { createSocket } from 'node:dgram';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import { processHost } from '@ragwortrudder/standins';
import { freePort } from './free-port.ts';
import { GatewayHarness } from './gateway-harness.ts';
import { limitConcurrency } from './limit-concurrency.ts';
import { SteadyRunner } from './steady-runner.ts';
import { unhandledRejections } from './unhandled-rejections.ts';

const RUNNER_TOPIC = 'servers';
const NODE_TOPIC = 'nodes';
const DEEP_LEVELS = 60_000;
const REQUESTS = 24;
/** Longer than two reads of the list of runners. */
const FOLLOWING_MS = 1_800;

const waitForTurn = limitConcurrency(5);

const SOUND = {
  service: 's',
  address: '127.0.0.1:1',
  zone: 'a',
  version: 'v1',
  slots: 8,
  state: 'ready',
  born: 1,
};

function entryText(change: object): string {
  return JSON.stringify({ ...SOUND, ...change });
}

/** Entry whose field has a value that `JSON.stringify` cannot write. */
function entryWith(field: string, text: string): string {
  const others = Object.entries(SOUND).filter(([name]) => name !== field);
  return `${JSON.stringify(Object.fromEntries(others)).slice(0, -1)},"${field}":${text}}`;
}

const DEEP = `${'['.repeat(DEEP_LEVELS)}${']'.repeat(DEEP_LEVELS)}`;
/** Entries that another writer may have left, by what is odd about them. */
const POISONED: Readonly<Record<string, string | Buffer>> = {
  'port 70000': entryText({ address: '127.0.0.1:70000' }),
  'port 65536': entryText({ address: '127.0.0.1:65536' }),
  'port 0': entryText({ address: '127.0.0.1:0' }),
  'port -1': entryText({ address: '127.0.0.1:-1' }),
  'port 1e9': entryText({ address: '127.0.0.1:1000000000' }),
  'no port': entryText({ address: '127.0.0.1' }),
  'host with a zero byte': entryText({ address: '127.0.0.1\u0000:80' }),
  'host of 100,000 characters': entryText({ address: `${'h'.repeat(100_000)}:80` }),
  '60,000 levels as a whole': DEEP,
  '60,000 levels in a field': entryWith('note', DEEP),
  '60,000 levels as slots': entryWith('slots', DEEP),
  'slots 1e400': entryWith('slots', '1e400'),
  'slots 1e308': entryWith('slots', '1e308'),
  'slots -1': entryText({ slots: -1 }),
  'slots 0.5': entryText({ slots: 0.5 }),
  'born 2^53 + 1': entryWith('born', '9007199254740993'),
  'born of 26 digits': entryWith('born', '1'.repeat(26)),
  'born -1': entryText({ born: -1 }),
  'cold for 1e308 ms': entryWith('cold_remaining_ms', '1e308'),
  'cold for -1 ms': entryText({ cold_remaining_ms: -1 }),
  'version of 200,000 characters': entryText({ version: 'v'.repeat(200_000) }),
  'version with a line break': entryText({ version: 'v1\r\nOdd: 1' }),
  'zone of another type': entryText({ zone: { a: 1 } }),
  'unknown state': entryText({ state: 'resting' }),
  'no service': entryText({ service: undefined }),
  'an array': '[]',
  null: 'null',
  'a text': '"ready"',
  'no JSON': '{"service":',
  'bytes that are not UTF-8': Buffer.concat([
    Buffer.from(entryText({}).slice(0, -1)),
    Buffer.from(',"note":"'),
    Buffer.from([0xff, 0xfe]),
    Buffer.from('"}'),
  ]),
  'an entry of 3 MB': entryText({ note: 'n'.repeat(3_000_000) }),
};

async function startRunners(t: ExecutionContext): Promise<readonly SteadyRunner[]> {
  const runners = await Promise.all(
    [0, 1, 2].map(() => new SteadyRunner({ events: 0, latencyMs: 5 }).listen()),
  );
  t.teardown(() => Promise.all(runners.map((runner) => runner.close())));
  return runners;
}

/** Sends requests to a gateway at the same time and returns how many were answered with 200. */
async function countServed(gateway: GatewayHarness): Promise<number> {
  const replies = await Promise.all(
    Array.from({ length: REQUESTS }, () => gateway.call().catch(() => undefined)),
  );
  return replies.filter((reply) => reply?.status === 200).length;
}

function linesOf(gateway: GatewayHarness, event: string): readonly string[] {
  return gateway.lines.filter((line) => line.includes(`"event":"${event}"`));
}

async function poison(
  log: MemoryKeyedLog,
  key: string,
  value: string | Buffer,
  topic = RUNNER_TOPIC,
): Promise<void> {
  await log.append({ topic, key, value: Buffer.from(value) });
}

/** Removes entries, so that only the runners that entered later are left. */
async function removeRunners(log: MemoryKeyedLog, ids: readonly string[]): Promise<void> {
  for (const key of ids) await log.append({ topic: RUNNER_TOPIC, key });
}

interface Following {
  readonly gateway: GatewayHarness;
  readonly writer: GatewayHarness;
  readonly log: MemoryKeyedLog;
  readonly runners: readonly SteadyRunner[];
}

/** Checks that the node still follows the list of runners: a third one enters, and the others leave. */
async function checkFollowing(
  t: ExecutionContext,
  { gateway, writer, log, runners }: Following,
): Promise<void> {
  const [, , last] = runners;
  t.is(await countServed(gateway), REQUESTS);
  await writer.registerRunner('r2', last?.port ?? 0);
  await sleep(FOLLOWING_MS);
  t.is(await countServed(gateway), REQUESTS);
  await removeRunners(log, ['r0', 'r1']);
  await sleep(FOLLOWING_MS);
  t.is(await countServed(gateway), REQUESTS);
  t.true((last?.runs.size ?? 0) >= REQUESTS, 'the runner that entered last was not used');
}

// Guards against: one odd entry among those of the runners ended processes (port 70000: a rejection of
// the probe of its link that nobody handled), lost requests that were sent there, or ended following.
for (const [kind, value] of Object.entries(POISONED)) {
  test(`an odd entry among those of the runners harms nobody: ${kind}`, async (t) => {
    await waitForTurn(t);
    const before = unhandledRejections.length;
    const log = new MemoryKeyedLog();
    await GatewayHarness.configure({ log });
    const runners = await startRunners(t);
    const writer = GatewayHarness.writerFor(log);
    await writer.registerRunner('r0', runners[0]?.port ?? 0);
    await poison(log, 'i-odd', value);
    await writer.registerRunner('r1', runners[1]?.port ?? 0);
    const gateway = await GatewayHarness.start(t, { log, peerPort: await freePort() });

    t.is(await countServed(gateway), REQUESTS);
    await poison(log, 'i-odd', value);
    await writer.registerRunner('r2', runners[2]?.port ?? 0);
    await sleep(FOLLOWING_MS);
    t.is(await countServed(gateway), REQUESTS);
    await removeRunners(log, ['r0', 'r1']);
    await sleep(FOLLOWING_MS);
    t.is(await countServed(gateway), REQUESTS);
    t.true((runners[2]?.runs.size ?? 0) >= REQUESTS, 'the runner that entered last was not used');

    const rejections = linesOf(gateway, 'record-rejected');
    t.is(rejections.length, 1, rejections.join(''));
    t.regex(rejections[0] ?? '', /"topic":"servers","key":"i-odd","cause":"[^"]/);
    t.deepEqual(
      linesOf(gateway, 'runner-entered').filter((line) => line.includes('i-odd')),
      [],
    );
    t.is(unhandledRejections.length, before);
  });
}

// Guards against: an id that no header can carry made each request to its runner fail without an answer.
for (const id of ['i-\u0000', 'i-\r\nOdd: 1', 'i-\u4e2d', ' ', 'i'.repeat(300)]) {
  test(`an entry whose id cannot be sent names no runner: ${JSON.stringify(id.slice(0, 20))}`, async (t) => {
    await waitForTurn(t);
    const log = new MemoryKeyedLog();
    await GatewayHarness.configure({ log });
    const runners = await startRunners(t);
    const writer = GatewayHarness.writerFor(log);
    const [sound, odd] = runners;
    await writer.registerRunner('r0', sound?.port ?? 0);
    await writer.registerRunner(id, odd?.port ?? 0);
    const gateway = await GatewayHarness.start(t, { log, peerPort: await freePort() });
    t.is(await countServed(gateway), REQUESTS);
    t.is(odd?.runs.size, 0);
    t.is(linesOf(gateway, 'record-rejected').length, 1);
  });
}

// Guards against: the same odd entry was logged with each read, or each of thousands drowned the log.
test('odd entries that are written again and again, and many of them, are logged within bounds', async (t) => {
  await waitForTurn(t);
  const log = new MemoryKeyedLog();
  await GatewayHarness.configure({ log });
  const runners = await startRunners(t);
  const writer = GatewayHarness.writerFor(log);
  await writer.registerRunner('r0', runners[0]?.port ?? 0);
  await writer.registerRunner('r1', runners[1]?.port ?? 0);
  const gateway = await GatewayHarness.start(t, { log, peerPort: await freePort() });
  for (let round = 0; round < 4; round += 1) {
    await poison(log, 'i-odd', entryText({ address: '127.0.0.1:70000', sequence: round }));
    await sleep(FOLLOWING_MS / 2);
  }
  t.is(linesOf(gateway, 'record-rejected').length, 1);
  for (let index = 0; index < 3_000; index += 1) await poison(log, `i-${index}`, 'null');
  await sleep(FOLLOWING_MS);
  const lines = linesOf(gateway, 'record-rejected').length;
  t.true(lines > 1 && lines <= 100, `${lines} lines`);
  await checkFollowing(t, { gateway, writer, log, runners });
});

// Guards against: an entry among the nodes with a port out of range ended every node that read it, since
// its reports were rejected by the socket and nobody handled that.
for (const port of [70_000, 0, -1, 1.5, 1e308]) {
  test(`an odd entry among those of the nodes harms nobody: port ${port}`, async (t) => {
    await waitForTurn(t);
    const before = unhandledRejections.length;
    const log = new MemoryKeyedLog();
    await poison(
      log,
      'n-odd',
      JSON.stringify({ host: '127.0.0.1', port, failureDomain: 'a', life: 1 }),
      NODE_TOPIC,
    );
    await GatewayHarness.configure({ log });
    const runners = await startRunners(t);
    const writer = GatewayHarness.writerFor(log);
    for (const [index, runner] of runners.entries()) {
      await writer.registerRunner(`r${index}`, runner.port);
    }
    const first = await GatewayHarness.start(t, { log, node: 'n1', peerPort: await freePort() });
    const second = await GatewayHarness.start(t, { log, node: 'n2', peerPort: await freePort() });
    await first.waitUntil(() => linesOf(first, 'peer-heard').length > 0);
    await second.waitUntil(() => linesOf(second, 'peer-heard').length > 0);
    await sleep(FOLLOWING_MS);
    t.is(await countServed(first), REQUESTS);
    t.is(await countServed(second), REQUESTS);
    for (const gateway of [first, second]) {
      const rejections = linesOf(gateway, 'record-rejected');
      t.is(rejections.length, 1, rejections.join(''));
      t.regex(rejections[0] ?? '', /"topic":"nodes","key":"n-odd"/);
      t.deepEqual(linesOf(gateway, 'task-failed'), []);
    }
    t.is(unhandledRejections.length, before);
  });
}

// Guards against: a message of a peer with a port out of range ended the node.
test('odd messages between nodes harm nobody and are logged once', async (t) => {
  await waitForTurn(t);
  const before = unhandledRejections.length;
  const log = new MemoryKeyedLog();
  await GatewayHarness.configure({ log });
  const runners = await startRunners(t);
  const writer = GatewayHarness.writerFor(log);
  await writer.registerRunner('r0', runners[0]?.port ?? 0);
  await writer.registerRunner('r1', runners[1]?.port ?? 0);
  const peerPort = await freePort();
  const gateway = await GatewayHarness.start(t, { log, peerPort });
  const report = {
    node: 'n-odd',
    host: '127.0.0.1',
    port: 70_000,
    failureDomain: 'a',
    life: 1,
    sequence: 1,
    now: 1,
    work: {},
    taken: {},
    usage: {},
    demand: {},
    duty: 0,
    isLeaving: false,
  };
  const messages = [
    { method: 'report', params: report },
    { method: 'report', params: { ...report, sequence: 1e300 } },
    { method: 'report', params: { ...report, port: 80, work: { r0: [-1e308, 1e308, 1e308] } } },
    { method: 'digest', params: { members: { x: ['h', 1e9, 0] } } },
    {
      method: 'digest',
      params: {
        relay: 'x',
        failureDomain: 'b',
        life: 1,
        sequence: 1,
        work: {},
        taken: {},
        members: { x: ['127.0.0.1', 70_000, 0] },
      },
    },
    { method: 'configuration-request', params: { host: '127.0.0.1', port: 70_000, after: 0 } },
    { method: 'configuration-request', params: { host: '127.0.0.1', port: 0, after: -1 } },
    { method: 'configuration', params: { node: 'x', version: 1e308, part: 0, parts: 1, text: '' } },
    { method: 'prompt', params: { node: 'x', runner: 'r0', tokens: 1e308 } },
    {
      method: 'feed',
      params: { topic: 'servers', from: 0, next: 1e308, changes: [], isWhole: true },
    },
    { method: 'no-such-method', params: {} },
  ];
  const socket = createSocket('udp4');
  t.teardown(() => socket.close());
  const send = (text: string | Buffer): Promise<void> =>
    new Promise((resolve) => {
      socket.send(text, peerPort, processHost(), () => {
        resolve();
      });
    });
  for (let round = 0; round < 5; round += 1) {
    for (const message of messages) await send(JSON.stringify({ jsonrpc: '2.0', ...message }));
    await send(`${'['.repeat(30_000)}${']'.repeat(30_000)}`);
    await send(Buffer.from([0xff, 0x00]));
    await sleep(100);
  }
  await sleep(FOLLOWING_MS);
  await checkFollowing(t, { gateway, writer, log, runners });
  t.deepEqual(linesOf(gateway, 'peer-heard'), []);
  const rejections = linesOf(gateway, 'record-rejected');
  t.true(rejections.length >= 6 && rejections.length <= 8, rejections.join(''));
  t.is(unhandledRejections.length, before);
});
