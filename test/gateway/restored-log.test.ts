import test from 'ava';
import type { ExecutionContext } from 'ava';
import { LogUnavailable, MemoryKeyedLog } from '@ragwortrudder/log';
import type { KeyedLog } from '@ragwortrudder/log';
import { PlatformHttpClient, PlatformLog } from '@ragwortrudder/platform-adapter';
import { KeyedStore } from '@ragwortrudder/standins';
import { freePort } from './free-port.ts';
import { GatewayHarness } from './gateway-harness.ts';
import { RestoringLog } from './restoring-log.ts';
import { responseTo } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

interface Fleet {
  readonly store: KeyedStore;
  readonly runners: readonly ScriptedRunner[];
  /** Writes on behalf of the operator and the runners. */
  readonly writer: GatewayHarness;
  readonly gateways: readonly GatewayHarness[];
  readonly startGateway: (node: string) => Promise<GatewayHarness>;
}

/** Time from the confirmation of a configuration within which it is in force on all nodes. */
const APPLY_MS = 2_000;
const POLL_MS = 20;
const OK = 200;
const ROUTE = {
  host: 'a.example',
  kind: 'idempotent',
  timeout_ms: 2_000,
  target_latency_ms: 300,
  service: 's',
  max_attempts: 2,
};

/** Log through which the operator and the runners write, also while calls of the nodes fail. */
function writerLog(store: KeyedStore): KeyedLog {
  const unused = (): never => {
    throw new LogUnavailable('the writer does not read');
  };
  return {
    era: 0,
    newest: unused,
    read: unused,
    append: ({ topic, key, value }) => {
      store.put(`keyed.${topic}`, key, value && Buffer.from(value).toString());
      return Promise.resolve(0);
    },
  };
}

/** Three gateways: two read the log for their failure domain, the third one follows their feeds. */
async function startFleet(t: ExecutionContext): Promise<Fleet> {
  const store = await new KeyedStore().listen();
  const runners = await Promise.all(
    [0, 1].map(() =>
      new ScriptedRunner((socket, request) => {
        socket.write(responseTo(request, 'ok'));
      }).listen(),
    ),
  );
  const logs: PlatformLog[] = [];
  const openLog = (): PlatformLog => {
    const log = new PlatformLog(new PlatformHttpClient(store.address));
    logs.push(log);
    return log;
  };
  const writer = GatewayHarness.writerFor(writerLog(store));
  await configure(writer, []);
  await writer.registerRunner('r0', runners[0]?.port ?? 0, { sequence: 1 });
  const startGateway = async (node: string): Promise<GatewayHarness> =>
    GatewayHarness.start(t, { log: openLog(), node, peerPort: await freePort() });
  const gateways: GatewayHarness[] = [];
  for (const node of ['n1', 'n2', 'n3']) gateways.push(await startGateway(node));
  t.teardown(async () => {
    for (const part of [...logs, ...runners, store]) await part.close();
  });
  return { store, runners, writer, gateways, startGateway };
}

/** Writes the next version, which has a route for each of the given paths beside the first one. */
async function configure(writer: GatewayHarness, paths: readonly string[]): Promise<void> {
  const routes = ['/p/', ...paths].map((path) => ({ ...ROUTE, name: path, path_prefix: path }));
  await writer.configure({ routes });
}

/** Time until all gateways serve a path, in milliseconds; Infinity when it takes too long. */
async function timeUntilServed(gateways: readonly GatewayHarness[], path: string): Promise<number> {
  const startedAt = performance.now();
  for (;;) {
    const replies = await Promise.all(gateways.map((gateway) => gateway.call({ path })));
    const tookMs = performance.now() - startedAt;
    if (replies.every(({ status }) => status === OK)) return tookMs;
    if (tookMs > 2 * APPLY_MS) return Infinity;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

// Guards against following the log at an offset that it gave out again (CONFIG).
test('pattern: store restored; a later configuration is in force on all nodes in time', async (t) => {
  const { store, writer, gateways, startGateway } = await startFleet(t);
  const copy = store.copy();
  await configure(writer, ['/v2/']);
  await configure(writer, ['/v2/', '/v3/']);
  t.true((await timeUntilServed(gateways, '/v3/x')) <= APPLY_MS);
  store.restore(copy);
  writer.repeatVersion();
  await configure(writer, ['/v2/', '/v3/']);
  await configure(writer, ['/v2/', '/v3/', '/v4/']);
  const joined = await startGateway('n4');
  t.true((await timeUntilServed([...gateways, joined], '/v4/x')) <= APPLY_MS);
});

// Guards against following the log at an offset that it gave out again (CONFIG).
test('pattern: store restored twice in a row; a revoked key stays revoked on all nodes', async (t) => {
  const { store, writer, gateways } = await startFleet(t);
  const copy = store.copy();
  await configure(writer, ['/v2/']);
  await configure(writer, ['/v3/']);
  t.true((await timeUntilServed(gateways, '/v3/x')) <= APPLY_MS);
  store.restore(copy);
  store.restore(copy);
  writer.repeatVersion();
  await configure(writer, ['/v3/']);
  await writer.configure({ tenants: [{ name: 'team', api_keys: ['other'] }] });
  await new Promise((resolve) => setTimeout(resolve, APPLY_MS));
  const replies = await Promise.all(gateways.map((gateway) => gateway.call()));
  t.deepEqual(
    replies.map(({ status }) => status),
    gateways.map(() => 401),
  );
});

// Guards against following the log at an offset that it gave out again (CONFIG).
test('pattern: store restored; runners that register and leave afterwards are known on all nodes', async (t) => {
  const { store, runners, writer, gateways } = await startFleet(t);
  const [first, second] = runners;
  const copy = store.copy();
  await writer.registerRunner('r0', first?.port ?? 0, { sequence: 2 });
  await writer.registerRunner('r0', first?.port ?? 0, { sequence: 3 });
  await new Promise((resolve) => setTimeout(resolve, APPLY_MS));
  store.restore(copy);
  await writer.registerRunner('r1', second?.port ?? 0, { sequence: 1 });
  await writer.registerRunner('r0', first?.port ?? 0, { state: 'draining', sequence: 4 });
  await new Promise((resolve) => setTimeout(resolve, APPLY_MS));
  const before = first?.received.length;
  const replies = await Promise.all(gateways.map((gateway) => gateway.call()));
  t.deepEqual(
    replies.map(({ status }) => status),
    gateways.map(() => OK),
  );
  t.is(first?.received.length, before);
});

// Guards against taking an entry for written that a restore took back while it was being written (CONFIG).
test('pattern: store restored while a node registers; it registers again', async (t) => {
  const inner = new MemoryKeyedLog();
  await GatewayHarness.configure({ log: inner }, [await freePort()]);
  const log = new RestoringLog(inner);
  log.restoreAfterAppendTo('nodes');
  const gateway = await GatewayHarness.start(t, { log, node: 'n1', peerPort: await freePort() });
  await new Promise((resolve) => setTimeout(resolve, APPLY_MS));
  const { records } = await inner.newest('nodes');
  t.deepEqual(
    records.map(({ key }) => key),
    ['n1'],
  );
  t.is(inner.era, 1);
  t.true(await gateway.isReady());
});
