import test from 'ava';
import { FollowerTimeout, LogUnavailable, MemoryLog, SnapshotMissing } from '@ragwortrudder/log';
import { appendAll, follower, until } from './parts.ts';

test('folds what is appended and is caught up at the end', async (t) => {
  const log = new MemoryLog();
  await appendAll(log, ['a', 'b']);
  const one = follower(log);
  t.false(one.caughtUp);
  t.is(one.lagMs, Infinity);
  one.start();
  await until(() => one.caughtUp);
  const wait = one.waitForOffset(2, 10_000);
  await appendAll(log, ['c']);
  await wait;
  t.deepEqual(one.state, ['a="a"', 'b="b"', 'c="c"']);
  t.is(one.next, 3);
  t.true(Number.isFinite(one.lagMs));
  await one.close();
});

test('two followers of one log reach the same state and hash, whatever their page size', async (t) => {
  const log = new MemoryLog();
  await appendAll(log, ['a', 'b', 'c', 'd', 'e']);
  const one = follower(log, { pageRecords: 2 });
  const two = follower(log);
  await one.readToEnd();
  await two.readToEnd();
  t.is(one.hash, two.hash);
  t.deepEqual(one.state, two.state);
});

test('reads that overlap fold each record once', async (t) => {
  const log = new MemoryLog();
  await appendAll(log, ['a', 'b', 'c']);
  const one = follower(log);
  const two = follower(log);
  await Promise.all([one.readToEnd(), one.readToEnd(), one.readToEnd()]);
  await two.readToEnd();
  t.is(one.hash, two.hash);
});

test('keeps its state in an outage, tells the failure and goes on afterwards', async (t) => {
  const faults = { isDown: false };
  const log = new MemoryLog({ faults: { down: () => faults.isDown } });
  await appendAll(log, ['a']);
  const one = follower(log, { pollWaitMs: 5 });
  one.start();
  await until(() => one.caughtUp);
  faults.isDown = true;
  await until(() => one.failure instanceof LogUnavailable);
  t.deepEqual(one.state, ['a="a"']);
  faults.isDown = false;
  await appendAll(log, ['b']);
  await one.waitForOffset(1, 10_000);
  await until(() => one.failure === undefined);
  await one.close();
});

test('a follower that starts in an outage is not caught up', async (t) => {
  const faults = { isDown: true };
  const log = new MemoryLog({ faults: { down: () => faults.isDown } });
  const one = follower(log);
  one.start();
  await until(() => one.failure !== undefined);
  t.false(one.caughtUp);
  faults.isDown = false;
  await until(() => one.caughtUp);
  await one.close();
  t.pass();
});

test('a record whose body is no batch is hashed and carries no entries', async (t) => {
  const log = new MemoryLog();
  await log.append({ id: 'odd', body: 'text' });
  await log.append({ id: 'odd', body: { entries: [{ id: 1 }] } });
  await appendAll(log, ['a']);
  const one = follower(log);
  await one.readToEnd();
  t.is(one.next, 3);
  t.deepEqual(one.state, ['a="a"']);
});

test('a page that skips records is not folded past the gap', async (t) => {
  const log = new MemoryLog();
  await appendAll(log, ['a', 'b', 'c']);
  const one = follower({
    append: (record) => log.append(record),
    read: async (range) => {
      const page = await log.read(range);
      return { ...page, records: page.records.filter(({ offset }) => offset !== 1) };
    },
  });
  await t.throwsAsync(one.readToEnd(), { message: /offset 1, found 2/ });
  t.deepEqual(one.state, ['a="a"']);
});

test('past retention without a snapshot it fails and is not caught up', async (t) => {
  const log = new MemoryLog();
  await appendAll(log, ['a', 'b', 'c']);
  log.expire(2);
  const one = follower(log);
  one.start();
  await until(() => one.failure instanceof SnapshotMissing);
  t.false(one.caughtUp);
  t.is(one.next, 0);
  await one.close();
});

test('waitForOffset ends at its timeout and at close', async (t) => {
  const one = follower(new MemoryLog());
  await t.throwsAsync(one.waitForOffset(0, 5), { instanceOf: FollowerTimeout });
  const wait = one.waitForOffset(0, 60_000);
  await one.close();
  await t.throwsAsync(wait, { instanceOf: FollowerTimeout });
});
