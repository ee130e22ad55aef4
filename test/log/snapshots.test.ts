import test from 'ava';
import { ManualClock, SeededRandom } from '@ragwortrudder/core';
import { GroupCommit, MemoryLog, SnapshotMissing, SnapshotWriter } from '@ragwortrudder/log';
import type { LogFollower, SnapshotWriterOptions, Writer } from '@ragwortrudder/log';
import { appendAll, follower, until } from './parts.ts';

const IDS = Array.from({ length: 30 }, (_, index) => `entry-${index}`);

interface Site {
  readonly clock: ManualClock;
  readonly log: MemoryLog;
  readonly source: LogFollower<readonly string[]>;
  readonly commit: GroupCommit;
  writer(options?: Partial<SnapshotWriterOptions>): SnapshotWriter;
}

async function site(): Promise<Site> {
  const clock = new ManualClock(1_000);
  const log = new MemoryLog({ clock });
  await appendAll(log, IDS);
  const source = follower(log, { clock });
  await source.readToEnd();
  source.start();
  const random = new SeededRandom(1);
  const commit = new GroupCommit({ log, follower: source, random });
  return {
    clock,
    log,
    source,
    commit,
    writer: (options) =>
      new SnapshotWriter({ source, writer: commit, clock, partBytes: 64, ...options }),
  };
}

async function closeAll({ commit, source, log }: Site): Promise<void> {
  await commit.close();
  await source.close();
  await log.close();
}

test('a follower that starts past retention restores the snapshot and reads on', async (t) => {
  const all = await site();
  t.true(await all.writer().writeIfDue());
  await appendAll(all.log, ['late']);
  all.log.expire(IDS.length);
  const one = follower(all.log);
  await one.readToEnd();
  await all.source.waitForOffset(all.log.next - 1, 10_000);
  t.true(all.log.next > IDS.length + 2, 'the snapshot has more than one part');
  t.deepEqual(one.state, all.source.state);
  t.is(one.hash, all.source.hash);
  t.true(one.caughtUp);
  await closeAll(all);
});

test('incomplete and corrupt snapshots are ignored, an older whole one is used', async (t) => {
  const all = await site();
  await all.writer().writeIfDue();
  const whole = all.log.next;
  let writes = 0;
  const torn: Writer = {
    write: (body, options) => {
      writes += 1;
      return writes < 3 ? all.commit.write(body, options) : Promise.reject(new SnapshotMissing(0));
    },
  };
  await t.throwsAsync(all.writer({ writer: torn, maxRecords: 1 }).writeIfDue());
  t.true(all.log.next > whole);
  for (const change of [{ data: 'AAAA' }, { hash: 'f'.repeat(64) }]) {
    const forged: Writer = {
      write: (body, options) => all.commit.write({ ...(body as object), ...change }, options),
    };
    await all.writer({ writer: forged, maxRecords: 1 }).writeIfDue();
  }
  all.log.expire(IDS.length);
  const one = follower(all.log);
  await one.readToEnd();
  t.deepEqual(one.state, all.source.state);
  t.is(one.newestSnapshot?.next, IDS.length);
  await closeAll(all);
});

test('a snapshot that does not reach the retained records is not used', async (t) => {
  const all = await site();
  await all.writer().writeIfDue();
  await appendAll(all.log, ['late']);
  all.log.expire(IDS.length + 1);
  const one = follower(all.log);
  await t.throwsAsync(one.readToEnd(), { instanceOf: SnapshotMissing });
  t.is(one.next, 0);
  await closeAll(all);
});

test('a whole snapshot that ends before the retained records is not used', async (t) => {
  const all = await site();
  const earlier = all.source.snapshot();
  await appendAll(all.log, ['between']);
  const source = {
    caughtUp: true,
    next: all.source.next,
    newestSnapshot: undefined,
    snapshot: () => earlier,
  };
  t.true(await all.writer({ source }).writeIfDue());
  all.log.expire(IDS.length + 1);
  const one = follower(all.log);
  await t.throwsAsync(one.readToEnd(), { instanceOf: SnapshotMissing });
  await all.source.waitForOffset(all.log.next - 1, 10_000);
  t.true(await all.writer({ maxRecords: 1 }).writeIfDue());
  await one.readToEnd();
  t.deepEqual(one.state, all.source.state);
  await closeAll(all);
});

test('a snapshot found after a peer brought the state further is not installed', async (t) => {
  const all = await site();
  await all.writer().writeIfDue();
  await appendAll(all.log, ['late']);
  await all.source.waitForOffset(all.log.next - 1, 10_000);
  all.log.expire(IDS.length);
  const gate = { isReached: false, open: (): void => undefined };
  const opened = new Promise<void>((resolve) => {
    gate.open = resolve;
  });
  const one = follower({
    append: (record) => all.log.append(record),
    read: async (range) => {
      gate.isReached = range.from > 0;
      if (gate.isReached) await opened;
      return all.log.read(range);
    },
  });
  const seen: number[] = [];
  one.subscribe(({ next }) => seen.push(next));
  const reading = one.readToEnd();
  await until(() => gate.isReached);
  one.offer(JSON.parse(JSON.stringify(all.source.exportPrefix({ from: 0, limit: 100 }))));
  gate.open();
  await reading;
  t.deepEqual(
    seen.filter((next) => next < all.log.next),
    [],
  );
  t.is(one.hash, all.source.hash);
  await closeAll(all);
});

test('a follower that fell behind retention does not go back', async (t) => {
  const all = await site();
  const one = follower(all.log);
  await one.readToEnd();
  await all.writer().writeIfDue();
  await appendAll(all.log, ['x', 'y']);
  await all.source.waitForOffset(all.log.next - 1, 10_000);
  await all.writer({ maxRecords: 1 }).writeIfDue();
  all.log.expire(IDS.length + 5);
  const seen: number[] = [];
  one.subscribe(({ next }) => seen.push(next));
  await one.readToEnd();
  t.deepEqual(
    seen,
    [...seen].sort((a, b) => a - b),
  );
  t.deepEqual(one.state.at(-1), 'y="y"');
  await closeAll(all);
});

test('a snapshot is due by age and by count, and not before', async (t) => {
  const all = await site();
  const writer = all.writer({ maxAgeMs: 1_000, maxRecords: 100 });
  t.true(await writer.writeIfDue());
  t.false(await writer.writeIfDue());
  all.clock.advance(1_000);
  t.true(writer.due);
  t.true(await writer.writeIfDue());
  t.false(writer.due);
  await appendAll(
    all.log,
    Array.from({ length: 100 }, (_, index) => `more-${index}`),
  );
  await all.source.waitForOffset(all.log.next - 1, 10_000);
  t.true(writer.due);
  await closeAll(all);
});
