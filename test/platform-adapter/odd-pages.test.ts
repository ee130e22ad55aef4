import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { LogExpired, LogUnavailable } from '@ragwortrudder/log';
import { PlatformHttpClient, PlatformLog } from '@ragwortrudder/platform-adapter';
import { keyedRecord } from '../../packages/standins/src/utils/keyed-record.ts';

const OFFSET_BYTES = 8;
const LENGTH_BYTES = 4;

/** Page of the store: its end, then the bytes of records. */
function page(end: bigint, records: Buffer = Buffer.alloc(0)): Buffer {
  const head = Buffer.alloc(2 * OFFSET_BYTES);
  head.writeBigUInt64BE(end);
  return Buffer.concat([head, records]);
}

async function startLog(t: ExecutionContext, reply: Buffer, status = 200): Promise<PlatformLog> {
  const server = createServer((_request, response) => {
    response.writeHead(status).end(reply);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const log = new PlatformLog(new PlatformHttpClient(`127.0.0.1:${port}`));
  t.teardown(async () => {
    await log.close();
    server.close();
  });
  return log;
}

const RANGE = { topic: 'things', from: 5, waitMs: 0 };

// Guards against: a record that no page can hold was asked for again and again, and nothing after it read.
test('a record that is cut off by its page is passed over by reading the newest of each key', async (t) => {
  const cut = Buffer.alloc(LENGTH_BYTES + 10);
  cut.writeUInt32BE(2_000_000);
  const log = await startLog(t, page(7n, cut));
  await t.throwsAsync(log.read(RANGE), { instanceOf: LogExpired });
});

// Guards against: a node whose position another one had stated wrongly waited there for ever.
test('a position beyond the end of the topic is given up', async (t) => {
  const log = await startLog(t, page(3n));
  await t.throwsAsync(log.read(RANGE), { instanceOf: LogExpired });
});

test('an empty page at the end of the topic is nothing odd', async (t) => {
  const log = await startLog(t, page(5n));
  t.deepEqual((await log.read(RANGE)).records, []);
});

test('replies with odd values are failures of the store', async (t) => {
  for (const reply of [
    '{"items":[{"key":"a","offset":1e400}],"more_pages":false,"end":1}',
    '{"items":[],"more_pages":false,"end":-1}',
    '{"items":[],"more_pages":false,"end":0.5}',
    `${'['.repeat(60_000)}${']'.repeat(60_000)}`,
    'null',
  ]) {
    const log = await startLog(t, Buffer.from(reply));
    await t.throwsAsync(log.newest('things'), { instanceOf: LogUnavailable });
  }
  const expired = await startLog(t, Buffer.from('{"first":1e400}'), 410);
  await t.throwsAsync(expired.read(RANGE), { instanceOf: LogUnavailable });
});

// Guards against: a page of the smallest records took many times its size of memory.
test('the records of a page beyond a limit are left to the next read', async (t) => {
  const records = Array.from({ length: 10_000 }, () => keyedRecord('a', Buffer.from('1')));
  const log = await startLog(t, page(100_000n, Buffer.concat(records)));
  const first = await log.read(RANGE);
  t.is(first.records.length, 4_096);
  t.is(first.next, RANGE.from + first.records.length);
  t.is(first.records.at(-1)?.offset, first.next - 1);
});

// Guards against: a record that was kept held the page that it came with.
test('the value of a record holds no other bytes of its page', async (t) => {
  const value = Buffer.alloc(100_000, 0x78);
  const log = await startLog(
    t,
    page(7n, Buffer.concat([keyedRecord('a', value), keyedRecord('b', value)])),
  );
  const { records } = await log.read(RANGE);
  t.is(records.length, 2);
  t.true(records.every((record) => record.value?.buffer.byteLength === value.length));
});

// Guards against: pages of the newest records that never end were collected until the memory was used up.
for (const [kind, bytes] of Object.entries({ large: 1_000_000, small: 1 })) {
  test(`newest records without end, each on a ${kind} page, are a failure of the store`, async (t) => {
    const value = Buffer.alloc(bytes).toString('base64');
    const endless = { items: [{ key: 'a', value, offset: 0 }], more_pages: true, end: 1 };
    const log = await startLog(t, Buffer.from(JSON.stringify(endless)));
    await t.throwsAsync(log.newest('things'), { instanceOf: LogUnavailable, message: /too many/ });
  });
}
