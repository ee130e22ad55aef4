import test from 'ava';
import { FollowerTimeout, LogUnavailable, MemoryLog, SnapshotMissing } from '@ragwortrudder/log';
import { appendAll, createFollower, waitUntil } from './helpers.ts';

test('folds appended records and reports that it has caught up at the end of the log', async (t) => {
  const log = new MemoryLog();
  await appendAll(log, ['a', 'b']);
  const follower = createFollower(log);
  t.false(follower.caughtUp);
  t.is(follower.lagMs, Infinity);
  follower.start();
  await waitUntil(() => follower.caughtUp);
  const wait = follower.waitForOffset(2, 10_000);
  await appendAll(log, ['c']);
  await wait;
  t.deepEqual(follower.state, ['a="a"', 'b="b"', 'c="c"']);
  t.is(follower.next, 3);
  t.true(Number.isFinite(follower.lagMs));
  await follower.close();
});

test('two followers of one log reach the same state and hash regardless of page size', async (t) => {
  const log = new MemoryLog();
  await appendAll(log, ['a', 'b', 'c', 'd', 'e']);
  const follower = createFollower(log, { pageRecords: 2 });
  const other = createFollower(log);
  await follower.readToEnd();
  await other.readToEnd();
  t.is(follower.hash, other.hash);
  t.deepEqual(follower.state, other.state);
});

test('concurrent reads fold each record once', async (t) => {
  const log = new MemoryLog();
  await appendAll(log, ['a', 'b', 'c']);
  const follower = createFollower(log);
  const other = createFollower(log);
  await Promise.all([follower.readToEnd(), follower.readToEnd(), follower.readToEnd()]);
  await other.readToEnd();
  t.is(follower.hash, other.hash);
});

test('keeps its state during an outage, exposes the failure and resumes afterwards', async (t) => {
  const faults = { isDown: false };
  const log = new MemoryLog({ faults: { down: () => faults.isDown } });
  await appendAll(log, ['a']);
  const follower = createFollower(log, { pollWaitMs: 5 });
  follower.start();
  await waitUntil(() => follower.caughtUp);
  faults.isDown = true;
  await waitUntil(() => follower.failure instanceof LogUnavailable);
  t.deepEqual(follower.state, ['a="a"']);
  faults.isDown = false;
  await appendAll(log, ['b']);
  await follower.waitForOffset(1, 10_000);
  await waitUntil(() => follower.failure === undefined);
  await follower.close();
});

test('a follower that starts during an outage is not caught up until the log recovers', async (t) => {
  const faults = { isDown: true };
  const log = new MemoryLog({ faults: { down: () => faults.isDown } });
  const follower = createFollower(log);
  follower.start();
  await waitUntil(() => follower.failure !== undefined);
  t.false(follower.caughtUp);
  faults.isDown = false;
  await waitUntil(() => follower.caughtUp);
  await follower.close();
  t.pass();
});

test('a record whose body is not a batch is hashed but contributes no entries', async (t) => {
  const log = new MemoryLog();
  await log.append({ id: 'odd', body: 'text' });
  await log.append({ id: 'odd', body: { entries: [{ id: 1 }] } });
  await appendAll(log, ['a']);
  const follower = createFollower(log);
  await follower.readToEnd();
  t.is(follower.next, 3);
  t.deepEqual(follower.state, ['a="a"']);
});

test('a page that skips records is not folded past the gap', async (t) => {
  const log = new MemoryLog();
  await appendAll(log, ['a', 'b', 'c']);
  const follower = createFollower({
    append: (record) => log.append(record),
    read: async (range) => {
      const page = await log.read(range);
      return { ...page, records: page.records.filter(({ offset }) => offset !== 1) };
    },
  });
  await t.throwsAsync(follower.readToEnd(), { message: /offset 1, found 2/ });
  t.deepEqual(follower.state, ['a="a"']);
});

test('a follower that needs expired records without a snapshot fails and is not caught up', async (t) => {
  const log = new MemoryLog();
  await appendAll(log, ['a', 'b', 'c']);
  log.expire(2);
  const follower = createFollower(log);
  follower.start();
  await waitUntil(() => follower.failure instanceof SnapshotMissing);
  t.false(follower.caughtUp);
  t.is(follower.next, 0);
  await follower.close();
});

test('waitForOffset rejects on timeout and on close', async (t) => {
  const follower = createFollower(new MemoryLog());
  await t.throwsAsync(follower.waitForOffset(0, 5), { instanceOf: FollowerTimeout });
  const wait = follower.waitForOffset(0, 60_000);
  await follower.close();
  await t.throwsAsync(wait, { instanceOf: FollowerTimeout });
});
