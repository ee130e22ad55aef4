import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import fc from 'fast-check';
import { SeededRandom } from '@ragwortrudder/core';
import {
  GroupCommit,
  LogRecordTooLarge,
  MemoryLog,
  WriteAbandoned,
  WriteQueueFull,
} from '@ragwortrudder/log';
import type { GroupCommitOptions, LogFollower, MemoryLogFaults } from '@ragwortrudder/log';
import { follower, until } from './parts.ts';

interface Site {
  readonly log: MemoryLog;
  readonly source: LogFollower<readonly string[]>;
  readonly commit: GroupCommit;
}

function site(faults: MemoryLogFaults = {}, options: Partial<GroupCommitOptions> = {}): Site {
  const log = new MemoryLog({ faults });
  const source = follower(log);
  source.start();
  const random = new SeededRandom(1);
  const backoff = { firstMs: 2, maxMs: 10 };
  const commit = new GroupCommit({ log, follower: source, random, backoff, ...options });
  return { log, source, commit };
}

async function closeAll({ commit, source, log }: Site): Promise<void> {
  await commit.close();
  await source.close();
  await log.close();
}

test('writes of one moment share one append and get positions in order', async (t) => {
  const all = site();
  const positions = await Promise.all(['a', 'b', 'c'].map((body) => all.commit.write(body)));
  t.deepEqual(positions, [0, 1, 2]);
  t.is(all.log.next, 1);
  t.like(all.commit.counters, { appends: 1, entries: 3, retries: 0, readBacks: 0 });
  await closeAll(all);
});

test('a batch is bounded in entries and bytes', async (t) => {
  const all = site({}, { maxBatch: 4, recordLimitBytes: 1_024 });
  await Promise.all(Array.from({ length: 8 }, (_, index) => all.commit.write(index)));
  t.is(all.log.next, 2);
  await Promise.all(Array.from({ length: 2 }, () => all.commit.write('x'.repeat(400))));
  t.is(all.log.next, 4);
  await closeAll(all);
});

test('a lost reply is read back and not appended again', async (t) => {
  let lost = 0;
  const all = site({ loseReply: () => (lost += 1) === 1 });
  t.is(await all.commit.write('a', { id: 'a' }), 0);
  await sleep(20);
  t.is(all.log.next, 1);
  t.is(all.commit.counters.retries, 0);
  await closeAll(all);
});

test('an append that failed is sent again after reading to the end', async (t) => {
  let calls = 0;
  const all = site({ down: (call) => call === 'append' && (calls += 1) <= 2 });
  t.is(await all.commit.write('a'), 0);
  t.like(all.commit.counters, { appends: 3, retries: 2, readBacks: 2 });
  await closeAll(all);
});

test('while the log cannot be read back, nothing is appended again', async (t) => {
  const state = { isDown: false };
  const all = site({ down: () => state.isDown });
  state.isDown = true;
  const write = all.commit.write('a');
  await until(() => all.commit.counters.readBacks > 2);
  t.is(all.commit.counters.appends, 1);
  state.isDown = false;
  t.is(await write, 0);
  await closeAll(all);
});

test('a read-back that lags leads to a second copy; the write gets the first position', async (t) => {
  const state = { appends: 0, isLagging: true };
  const all = site({
    loseReply: () => (state.appends += 1) === 1,
    lagRecords: () => (state.isLagging ? 1 : 0),
  });
  const write = all.commit.write('a', { id: 'a' });
  await until(() => state.appends === 2);
  state.isLagging = false;
  t.is(await write, 0);
  t.is(all.log.next, 2);
  t.is(all.commit.counters.entries, 1);
  await closeAll(all);
});

test('a throttled append is sent again after the stated delay without a read-back', async (t) => {
  let calls = 0;
  const all = site({ throttleMs: () => ((calls += 1) === 1 ? 3 : undefined) });
  t.is(await all.commit.write('a'), 0);
  t.like(all.commit.counters, { appends: 2, retries: 1, readBacks: 0 });
  await closeAll(all);
});

test('a write abandoned in the queue will not take effect', async (t) => {
  const all = site({ down: () => true });
  const sent = all.commit.write('sent', { timeoutMs: 60_000 });
  await until(() => all.commit.counters.appends > 0);
  const failure = await t.throwsAsync(all.commit.write('queued', { timeoutMs: 5 }), {
    instanceOf: WriteAbandoned,
  });
  t.false(failure.mayTakeEffect);
  t.true(failure.notRun);
  const closed = t.throwsAsync(sent, { instanceOf: WriteAbandoned });
  await closeAll(all);
  await closed;
});

test('a write abandoned after it was sent may take effect', async (t) => {
  const all = site({ down: () => true });
  const failure = await t.throwsAsync(all.commit.write('sent', { timeoutMs: 50 }), {
    instanceOf: WriteAbandoned,
  });
  t.true(failure.mayTakeEffect);
  t.false(failure.notRun);
  await closeAll(all);
});

test('a write that was only throttled will not take effect once abandoned', async (t) => {
  const all = site({ throttleMs: () => 1 });
  const failure = await t.throwsAsync(all.commit.write('a', { timeoutMs: 30 }), {
    instanceOf: WriteAbandoned,
  });
  t.false(failure.mayTakeEffect);
  await sleep(10);
  t.is(all.log.next, 0);
  await closeAll(all);
});

test('close rejects what is pending, and later writes', async (t) => {
  const all = site({ down: () => true });
  const write = all.commit.write('a');
  await until(() => all.commit.counters.appends > 0);
  const rejected = t.throwsAsync(write, { instanceOf: WriteAbandoned });
  await all.commit.close();
  t.true((await rejected).mayTakeEffect);
  const late = await t.throwsAsync(all.commit.write('b'), { instanceOf: WriteAbandoned });
  t.false(late.mayTakeEffect);
  await closeAll(all);
});

test('a full queue and a too large entry are refused', async (t) => {
  const all = site({ down: () => true }, { maxQueued: 1, recordLimitBytes: 1_024 });
  await t.throwsAsync(all.commit.write('x'.repeat(2_000)), { instanceOf: LogRecordTooLarge });
  const first = all.commit.write('a');
  await until(() => all.commit.counters.appends > 0);
  const second = all.commit.write('b');
  await t.throwsAsync(all.commit.write('c'), { instanceOf: WriteQueueFull });
  const rejected = Promise.all([t.throwsAsync(first), t.throwsAsync(second)]);
  await closeAll(all);
  await rejected;
});

test('the queue is bounded in bytes, and what is abandoned leaves it', async (t) => {
  const all = site({ down: () => true }, { maxQueuedBytes: 1_000 });
  const first = t.throwsAsync(all.commit.write('a'));
  await until(() => all.commit.counters.appends > 0);
  const large = 'x'.repeat(600);
  await t.throwsAsync(
    Promise.all([
      all.commit.write(large, { timeoutMs: 5 }),
      t.throwsAsync(all.commit.write(large), { instanceOf: WriteQueueFull }),
    ]),
    { instanceOf: WriteAbandoned },
  );
  t.is(all.commit.queued, 0);
  const again = t.throwsAsync(all.commit.write(large), { instanceOf: WriteAbandoned });
  t.is(all.commit.queued, 1);
  await closeAll(all);
  await Promise.all([first, again]);
});

test('a batch that the log finds too large is split, one entry is refused', async (t) => {
  const log = new MemoryLog({ recordLimitBytes: 400 });
  const source = follower(log);
  source.start();
  const commit = new GroupCommit({ log, follower: source, random: new SeededRandom(1) });
  const writes = [100, 150, 500, 120].map((size) => commit.write('x'.repeat(size)));
  const results = await Promise.allSettled(writes);
  t.deepEqual(
    results.map(({ status }) => status),
    ['fulfilled', 'fulfilled', 'rejected', 'fulfilled'],
  );
  await closeAll({ log, source, commit });
});

test('the same identifier in progress is one write', async (t) => {
  const all = site();
  const [one, two] = await Promise.all([
    all.commit.write('a', { id: 'same' }),
    all.commit.write('a', { id: 'same' }),
  ]);
  t.is(one, two);
  t.is(all.commit.counters.entries, 1);
  await closeAll(all);
});

test('under random faults every resolved write is in the log where it says', async (t) => {
  const runs = fc.asyncProperty(
    fc.array(fc.constantFrom('ok', 'down', 'lost', 'throttled'), { maxLength: 12 }),
    fc.integer({ min: 1, max: 20 }),
    async (plan, count) => {
      let call = -1;
      const now = (): string => plan[call] ?? 'ok';
      const all = site({
        down: (kind) => kind === 'append' && ((call += 1), now() === 'down'),
        throttleMs: () => (now() === 'throttled' ? 1 : undefined),
        loseReply: () => now() === 'lost',
      });
      const ids = Array.from({ length: count }, (_, index) => `w${index}`);
      const writes = ids.map(async (id, index) => {
        if (index % 3 === 0) await sleep(index % 5);
        return { id, position: await all.commit.write(id, { id }) };
      });
      for (const { id, position } of await Promise.all(writes)) {
        const record = all.log.records[Math.floor(position / 1_024)];
        const body = record?.body as { readonly entries: readonly { readonly id: string }[] };
        t.is(body.entries[position % 1_024]?.id, id);
      }
      const inLog = all.log.records.flatMap(
        ({ body }) => (body as { readonly entries: readonly unknown[] }).entries,
      );
      t.is(inLog.length, count);
      await closeAll(all);
    },
  );
  await fc.assert(runs, { seed: 7, numRuns: 30 });
});
