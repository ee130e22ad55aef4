import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { LogUnavailable, MemoryKeyedLog } from '@ragwortrudder/log';
import type { KeyedLog } from '@ragwortrudder/log';
import { freePort } from './free-port.ts';
import { GatewayHarness } from './gateway-harness.ts';
import { responseTo } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

/** Time from the confirmation of a configuration within which it is in force on all nodes. */
const APPLY_MS = 2_000;
const OK = 200;

/** A log that turns its user away while `isRefusing` is set. */
class RefusingLog implements KeyedLog {
  isRefusing = false;
  readonly #log: KeyedLog;

  constructor(log: KeyedLog) {
    this.#log = log;
  }

  get era(): number {
    return this.#log.era;
  }

  newest(topic: string): ReturnType<KeyedLog['newest']> {
    return this.#allow().then(() => this.#log.newest(topic));
  }

  async read(range: Parameters<KeyedLog['read']>[0]): ReturnType<KeyedLog['read']> {
    await this.#allow();
    const page = await this.#log.read(range);
    await this.#allow();
    return page;
  }

  append(record: Parameters<KeyedLog['append']>[0]): Promise<number> {
    return this.#allow().then(() => this.#log.append(record));
  }

  #allow(): Promise<void> {
    if (!this.isRefusing) return Promise.resolve();
    return Promise.reject(new LogUnavailable('the log is busy', { notRun: true }));
  }
}

async function startFleet(t: ExecutionContext): Promise<{
  readonly log: MemoryKeyedLog;
  readonly writer: GatewayHarness;
  readonly refused: RefusingLog;
  readonly start: (node: string, log: KeyedLog) => Promise<GatewayHarness>;
}> {
  const log = new MemoryKeyedLog();
  const runner = await new ScriptedRunner((socket, request) => {
    socket.write(responseTo(request, 'ok'));
  }).listen();
  t.teardown(() => runner.close());
  const writer = GatewayHarness.writerFor(log);
  await writer.configure({});
  await writer.registerRunner('r0', runner.port);
  const start = async (node: string, nodeLog: KeyedLog): Promise<GatewayHarness> =>
    GatewayHarness.start(t, { log: nodeLog, node, peerPort: await freePort() });
  return { log, writer, refused: new RefusingLog(log), start };
}

// Guards against a node that serves by an older configuration than its peers (CONFIG).
test('pattern: store turns one node away; it learns of a new configuration from its peers', async (t) => {
  const { log, writer, refused, start } = await startFleet(t);
  await start('n1', log);
  await start('n2', log);
  const node = await start('n3', refused);
  await sleep(1_000);
  refused.isRefusing = true;
  await writer.configure({ tenants: [{ name: 'team', api_keys: ['new'] }] });
  await sleep(APPLY_MS);
  t.is((await node.call()).status, 401, 'a revoked key');
  t.is((await node.call({ headers: { 'X-Api-Key': 'new' } })).status, OK, 'an added key');
});

// Guards against a node that serves by an older configuration than its peers (CONFIG).
test('pattern: store turns one node away; it learns of a configuration of many datagrams', async (t) => {
  const { log, writer, refused, start } = await startFleet(t);
  await start('n1', log);
  const node = await start('n2', refused);
  await sleep(1_000);
  refused.isRefusing = true;
  const keys = Array.from({ length: 8_000 }, () => Math.random().toString(36).slice(2));
  await writer.configure({ tenants: [{ name: 'team', api_keys: keys }] });
  await sleep(APPLY_MS);
  t.is((await node.call({ headers: { 'X-Api-Key': keys.at(-1) ?? '' } })).status, OK);
});

const HTTP_UNAUTHORIZED = 401;
const HTTP_NOT_FOUND = 404;
const HTTP_UNAVAILABLE = 503;

// Guards against the refusal of routes and keys that were added while a node reached neither the store nor peers (CONFIG).
test('pattern: node that reaches neither the store nor peers; it does not deny what a newer configuration may have', async (t) => {
  const { writer, refused, start } = await startFleet(t);
  await writer.configure({ tenants: [{ name: 'team', api_keys: ['old'] }] });
  const node = await start('n1', refused);
  const keys = (key: string): object => ({ headers: { 'X-Api-Key': key } });
  t.is((await node.call(keys('new'))).status, HTTP_UNAUTHORIZED);
  t.is((await node.call({ path: '/none/' })).status, HTTP_NOT_FOUND);
  refused.isRefusing = true;
  await writer.configure({ tenants: [{ name: 'team', api_keys: ['old', 'new'] }] });
  await sleep(2 * APPLY_MS);
  for (const call of [keys('new'), { path: '/none/' }]) {
    const { status, headers } = await node.call(call);
    t.is(status, HTTP_UNAVAILABLE);
    t.truthy(headers['retry-after']);
  }
  t.is((await node.call(keys('old'))).status, OK);
  refused.isRefusing = false;
  await sleep(APPLY_MS);
  t.is((await node.call(keys('new'))).status, OK);
  t.is((await node.call({ path: '/none/' })).status, HTTP_NOT_FOUND);
});
