import test from 'ava';
import { ManualClock, SeededRandom } from '@ragwortrudder/core';
import { GroupCommit, MemoryLog, SnapshotMissing, SnapshotWriter } from '@ragwortrudder/log';
import type { LogFollower, SnapshotWriterOptions, Writer } from '@ragwortrudder/log';
import { appendAll, createFollower, waitUntil } from './helpers.ts';

const IDS = Array.from({ length: 30 }, (_, index) => `entry-${index}`);

interface TestEnvironment {
  readonly clock: ManualClock;
  readonly log: MemoryLog;
  readonly source: LogFollower<readonly string[]>;
  readonly commit: GroupCommit;
  writer(options?: Partial<SnapshotWriterOptions>): SnapshotWriter;
}

async function createEnvironment(): Promise<TestEnvironment> {
  const clock = new ManualClock(1_000);
  const log = new MemoryLog({ clock });
  await appendAll(log, IDS);
  const source = createFollower(log, { clock });
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

async function closeAll({ commit, source, log }: TestEnvironment): Promise<void> {
  await commit.close();
  await source.close();
  await log.close();
}

test('a follower that starts after records expired restores the snapshot and reads the rest', async (t) => {
  const env = await createEnvironment();
  t.true(await env.writer().writeIfDue());
  await appendAll(env.log, ['late']);
  env.log.expire(IDS.length);
  const follower = createFollower(env.log);
  await follower.readToEnd();
  await env.source.waitForOffset(env.log.next - 1, 10_000);
  t.true(env.log.next > IDS.length + 2, 'the snapshot has more than one part');
  t.deepEqual(follower.state, env.source.state);
  t.is(follower.hash, env.source.hash);
  t.true(follower.caughtUp);
  await closeAll(env);
});

test('incomplete and corrupt snapshots are ignored in favor of an older complete one', async (t) => {
  const env = await createEnvironment();
  await env.writer().writeIfDue();
  const completeSnapshotEnd = env.log.next;
  let writes = 0;
  const failingWriter: Writer = {
    write: (body, options) => {
      writes += 1;
      return writes < 3 ? env.commit.write(body, options) : Promise.reject(new SnapshotMissing(0));
    },
  };
  await t.throwsAsync(env.writer({ writer: failingWriter, maxRecords: 1 }).writeIfDue());
  t.true(env.log.next > completeSnapshotEnd);
  for (const change of [{ data: 'AAAA' }, { hash: 'f'.repeat(64) }]) {
    const corruptingWriter: Writer = {
      write: (body, options) => env.commit.write({ ...(body as object), ...change }, options),
    };
    await env.writer({ writer: corruptingWriter, maxRecords: 1 }).writeIfDue();
  }
  env.log.expire(IDS.length);
  const follower = createFollower(env.log);
  await follower.readToEnd();
  t.deepEqual(follower.state, env.source.state);
  t.is(follower.newestSnapshot?.next, IDS.length);
  await closeAll(env);
});

test('a snapshot with an expired part is not used', async (t) => {
  const env = await createEnvironment();
  await env.writer().writeIfDue();
  await appendAll(env.log, ['late']);
  env.log.expire(IDS.length + 1);
  const follower = createFollower(env.log);
  await t.throwsAsync(follower.readToEnd(), { instanceOf: SnapshotMissing });
  t.is(follower.next, 0);
  await closeAll(env);
});

test('a complete snapshot that ends before the oldest retained record is not used', async (t) => {
  const env = await createEnvironment();
  const earlier = env.source.snapshot();
  await appendAll(env.log, ['between']);
  const source = {
    caughtUp: true,
    next: env.source.next,
    newestSnapshot: undefined,
    snapshot: () => earlier,
  };
  t.true(await env.writer({ source }).writeIfDue());
  env.log.expire(IDS.length + 1);
  const follower = createFollower(env.log);
  await t.throwsAsync(follower.readToEnd(), { instanceOf: SnapshotMissing });
  await env.source.waitForOffset(env.log.next - 1, 10_000);
  t.true(await env.writer({ maxRecords: 1 }).writeIfDue());
  await follower.readToEnd();
  t.deepEqual(follower.state, env.source.state);
  await closeAll(env);
});

test('a snapshot that is behind the state received from a peer is not installed', async (t) => {
  const env = await createEnvironment();
  await env.writer().writeIfDue();
  await appendAll(env.log, ['late']);
  await env.source.waitForOffset(env.log.next - 1, 10_000);
  env.log.expire(IDS.length);
  const gate = { isReached: false, open: (): void => undefined };
  const opened = new Promise<void>((resolve) => {
    gate.open = resolve;
  });
  const follower = createFollower({
    append: (record) => env.log.append(record),
    read: async (range) => {
      gate.isReached = range.from > 0;
      if (gate.isReached) await opened;
      return env.log.read(range);
    },
  });
  const observedOffsets: number[] = [];
  follower.subscribe(({ next }) => observedOffsets.push(next));
  const reading = follower.readToEnd();
  await waitUntil(() => gate.isReached);
  follower.applyPrefix(
    JSON.parse(JSON.stringify(env.source.exportPrefix({ from: 0, limit: 100 }))),
  );
  gate.open();
  await reading;
  t.deepEqual(
    observedOffsets.filter((next) => next < env.log.next),
    [],
  );
  t.is(follower.hash, env.source.hash);
  await closeAll(env);
});

test('a follower that fell behind retention restores a snapshot without moving backwards', async (t) => {
  const env = await createEnvironment();
  const follower = createFollower(env.log);
  await follower.readToEnd();
  await env.writer().writeIfDue();
  await appendAll(env.log, ['x', 'y']);
  await env.source.waitForOffset(env.log.next - 1, 10_000);
  await env.writer({ maxRecords: 1 }).writeIfDue();
  env.log.expire(IDS.length + 5);
  const observedOffsets: number[] = [];
  follower.subscribe(({ next }) => observedOffsets.push(next));
  await follower.readToEnd();
  t.deepEqual(
    observedOffsets,
    [...observedOffsets].sort((a, b) => a - b),
  );
  t.deepEqual(follower.state.at(-1), 'y="y"');
  await closeAll(env);
});

test('a snapshot is due by age or by record count, and not before', async (t) => {
  const env = await createEnvironment();
  const writer = env.writer({ maxAgeMs: 1_000, maxRecords: 100 });
  t.true(await writer.writeIfDue());
  t.false(await writer.writeIfDue());
  env.clock.advance(1_000);
  t.true(writer.due);
  t.true(await writer.writeIfDue());
  t.false(writer.due);
  await appendAll(
    env.log,
    Array.from({ length: 100 }, (_, index) => `more-${index}`),
  );
  await env.source.waitForOffset(env.log.next - 1, 10_000);
  t.true(writer.due);
  await closeAll(env);
});
