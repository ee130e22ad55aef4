import test from 'ava';
import {
  LogExpired,
  LogRateExceeded,
  LogRecordTooLarge,
  LogUnavailable,
  MemoryLog,
} from '@ragwortrudder/log';

test('assigns consecutive offsets and reads records back', async (t) => {
  const log = new MemoryLog();
  t.is(await log.append({ id: 'a', body: 1 }), 0);
  t.is(await log.append({ id: 'b', body: 2 }), 1);
  const page = await log.read({ from: 1, limit: 10, waitMs: 0 });
  t.deepEqual(
    page.records.map(({ id }) => id),
    ['b'],
  );
  t.is(page.next, 2);
});

test('a long poll returns at the next append', async (t) => {
  const log = new MemoryLog();
  const read = log.read({ from: 0, limit: 10, waitMs: 60_000 });
  await log.append({ id: 'a', body: 1 });
  t.is((await read).records.length, 1);
});

test('rejects reads of expired records, appends that are too large, and throttled appends', async (t) => {
  const delays: number[] = [];
  const log = new MemoryLog({ recordLimitBytes: 64, faults: { throttleMs: () => delays.pop() } });
  await log.append({ id: 'a', body: 1 });
  log.expire(1);
  const expired = await t.throwsAsync(log.read({ from: 0, limit: 1, waitMs: 0 }), {
    instanceOf: LogExpired,
  });
  t.is(expired.first, 1);
  await t.throwsAsync(log.append({ id: 'b', body: 'x'.repeat(100) }), {
    instanceOf: LogRecordTooLarge,
  });
  delays.push(7);
  const throttled = await t.throwsAsync(log.append({ id: 'c', body: 1 }), {
    instanceOf: LogRateExceeded,
  });
  t.is(throttled.retryAfterMs, 7);
  t.is(log.next, 1);
});

test('a lost reply leaves the record in the log; an append while the log is down does not', async (t) => {
  const faults = { isDown: false };
  const log = new MemoryLog({
    faults: { down: () => faults.isDown, loseReply: ({ id }) => id === 'lost' },
  });
  await t.throwsAsync(log.append({ id: 'lost', body: 1 }), { instanceOf: LogUnavailable });
  faults.isDown = true;
  await t.throwsAsync(log.append({ id: 'down', body: 1 }), { instanceOf: LogUnavailable });
  t.deepEqual(
    log.records.map(({ id }) => id),
    ['lost'],
  );
});
