import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { AppendConflict, LogExpired, LogUnavailable } from '@ragwortrudder/log';
import { PlatformHttpClient, PlatformLog } from '@ragwortrudder/platform-adapter';
import { KeyedStore } from '@ragwortrudder/standins';

interface TestEnvironment {
  readonly store: KeyedStore;
  readonly log: PlatformLog;
}

const TOPIC = 'things';
/** Name of the same topic in the store. */
const STORED_TOPIC = 'keyed.things';

async function startLog(
  t: ExecutionContext,
  options: { readonly pageSize?: number } = {},
): Promise<TestEnvironment> {
  const store = await new KeyedStore(options).listen();
  const log = new PlatformLog(new PlatformHttpClient(store.address));
  t.teardown(async () => {
    await log.close();
    await store.close();
  });
  return { store, log };
}

function text(value: Uint8Array | undefined): string | undefined {
  return value && Buffer.from(value).toString();
}

test('records are appended, read in order, and deleted', async (t) => {
  const { log } = await startLog(t);
  t.is(await log.append({ topic: TOPIC, key: 'a', value: Buffer.from('1') }), 0);
  t.is(await log.append({ topic: TOPIC, key: 'b', value: Buffer.from('2') }), 1);
  t.is(await log.append({ topic: TOPIC, key: 'a' }), 2);
  const { records, next } = await log.read({ topic: TOPIC, from: 1, waitMs: 0 });
  t.is(next, 3);
  t.deepEqual(
    records.map(({ key, value, offset }) => [key, text(value), offset]),
    [
      ['b', '2', 1],
      ['a', undefined, 2],
    ],
  );
  t.deepEqual(
    (await log.newest(TOPIC)).records.map(({ key }) => key),
    ['b'],
  );
});

test('all pages of the newest records are read, and reading continues at the end of the first page', async (t) => {
  const { store, log } = await startLog(t, { pageSize: 2 });
  for (const key of ['a', 'b', 'c', 'd', 'e']) store.put(STORED_TOPIC, key, key);
  const { records, next } = await log.newest(TOPIC);
  t.deepEqual(
    records.map(({ key }) => key),
    ['a', 'b', 'c', 'd', 'e'],
  );
  t.is(next, 5);
});

test('an append at an offset other than the end is a conflict', async (t) => {
  const { store, log } = await startLog(t);
  store.put(STORED_TOPIC, 'a', '1');
  await t.throwsAsync(log.append({ topic: TOPIC, key: 'a', value: Buffer.from('2'), at: 0 }), {
    instanceOf: AppendConflict,
  });
  t.is(await log.append({ topic: TOPIC, key: 'a', value: Buffer.from('2'), at: 1 }), 1);
});

test('a read waits for the next record', async (t) => {
  const { store, log } = await startLog(t);
  const page = log.read({ topic: TOPIC, from: 0, waitMs: 5_000 });
  store.put(STORED_TOPIC, 'a', '1');
  t.is((await page).records.length, 1);
});

test('reading expired history fails with LogExpired', async (t) => {
  const { store, log } = await startLog(t);
  store.put(STORED_TOPIC, 'a', '1');
  store.dropHistory(STORED_TOPIC);
  await t.throwsAsync(log.read({ topic: TOPIC, from: 0, waitMs: 0 }), { instanceOf: LogExpired });
  t.is((await log.newest(TOPIC)).records.length, 1);
});

test('a refused append was not executed; one without a reply may have been', async (t) => {
  const { store, log } = await startLog(t);
  const append = { topic: TOPIC, key: 'a', value: Buffer.from('1') };
  for (const fault of ['busy', 'many'] as const) {
    store.setFault(fault);
    const error = await t.throwsAsync(log.append(append), { instanceOf: LogUnavailable });
    t.true(error.notRun, fault);
  }
  for (const fault of ['reset', 'lost', 'silent'] as const) {
    store.setFault(fault);
    const error = await t.throwsAsync(log.append(append), { instanceOf: LogUnavailable });
    t.false(error.notRun, fault);
  }
  store.setFault('none');
  t.is((await log.newest(TOPIC)).next, 1);
});

// Guards against following the log at an offset that it gave out again (CONFIG).
test('pattern: store restored; a reply of the era before is rejected, and so is an append for it', async (t) => {
  const { store, log } = await startLog(t);
  const copy = store.copy();
  store.put(STORED_TOPIC, 'a', '1');
  const { era } = await log.newest(TOPIC);
  const eras = [era + 1, era];
  const late = createServer((_request, response) => {
    response.setHeader('Store-Era', String(eras.shift()));
    response.end(JSON.stringify({ items: [], more_pages: false, end: 0 }));
  });
  await new Promise<void>((resolve) => late.listen(0, '127.0.0.1', resolve));
  const { port } = late.address() as AddressInfo;
  const lateLog = new PlatformLog(new PlatformHttpClient(`127.0.0.1:${port}`));
  t.teardown(async () => {
    await lateLog.close();
    late.close();
  });
  t.is((await lateLog.newest(TOPIC)).era, era + 1);
  await t.throwsAsync(lateLog.newest(TOPIC), { instanceOf: LogUnavailable });
  store.restore(copy);
  // The client notices that its idle connection was closed.
  await new Promise((resolve) => setTimeout(resolve, 50));
  await t.throwsAsync(log.append({ topic: TOPIC, key: 'b', value: Buffer.from('2'), at: 0, era }), {
    instanceOf: AppendConflict,
  });
  t.is(log.era, era + 1);
  await t.throwsAsync(log.read({ topic: TOPIC, from: 2, waitMs: 0 }), { instanceOf: LogExpired });
});

test('a reply that names no era, such as a rejection, belongs to the known one', async (t) => {
  const headers = [{ 'Store-Era': '4' }, {}];
  const server = createServer((_request, response) => {
    response.writeHead(200, headers.shift());
    response.end(JSON.stringify({ items: [], more_pages: false, end: 0 }));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const log = new PlatformLog(new PlatformHttpClient(`127.0.0.1:${port}`));
  t.teardown(async () => {
    await log.close();
    server.close();
  });
  t.is((await log.newest(TOPIC)).era, 4);
  t.is((await log.newest(TOPIC)).era, 4);
});
