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
import { createFollower, waitUntil } from './helpers.ts';

interface TestEnvironment {
  readonly log: MemoryLog;
  readonly source: LogFollower<readonly string[]>;
  readonly commit: GroupCommit;
}

function createEnvironment(
  faults: MemoryLogFaults = {},
  options: Partial<GroupCommitOptions> = {},
): TestEnvironment {
  const log = new MemoryLog({ faults });
  const source = createFollower(log);
  source.start();
  const random = new SeededRandom(1);
  const backoff = { firstMs: 2, maxMs: 10 };
  const commit = new GroupCommit({ log, follower: source, random, backoff, ...options });
  return { log, source, commit };
}

async function closeAll({ commit, source, log }: TestEnvironment): Promise<void> {
  await commit.close();
  await source.close();
  await log.close();
}

test('concurrent writes share one append and get consecutive positions', async (t) => {
  const env = createEnvironment();
  const positions = await Promise.all(['a', 'b', 'c'].map((body) => env.commit.write(body)));
  t.deepEqual(positions, [0, 1, 2]);
  t.is(env.log.next, 1);
  t.like(env.commit.counters, { appends: 1, entries: 3, retries: 0, readBacks: 0 });
  await closeAll(env);
});

test('a batch is bounded by entry count and by size', async (t) => {
  const env = createEnvironment({}, { maxBatch: 4, recordLimitBytes: 1_024 });
  await Promise.all(Array.from({ length: 8 }, (_, index) => env.commit.write(index)));
  t.is(env.log.next, 2);
  await Promise.all(Array.from({ length: 2 }, () => env.commit.write('x'.repeat(400))));
  t.is(env.log.next, 4);
  await closeAll(env);
});

test('an append whose reply was lost is confirmed by a read and not retried', async (t) => {
  let lostReplies = 0;
  const env = createEnvironment({ loseReply: () => (lostReplies += 1) === 1 });
  t.is(await env.commit.write('a', { id: 'a' }), 0);
  await sleep(20);
  t.is(env.log.next, 1);
  t.is(env.commit.counters.retries, 0);
  await closeAll(env);
});

test('a failed append is retried after reading to the end of the log', async (t) => {
  let calls = 0;
  const env = createEnvironment({ down: (call) => call === 'append' && (calls += 1) <= 2 });
  t.is(await env.commit.write('a'), 0);
  t.like(env.commit.counters, { appends: 3, retries: 2, readBacks: 2 });
  await closeAll(env);
});

test('a failed append is not retried while the log cannot be read', async (t) => {
  const state = { isDown: false };
  const env = createEnvironment({ down: () => state.isDown });
  state.isDown = true;
  const write = env.commit.write('a');
  await waitUntil(() => env.commit.counters.readBacks > 2);
  t.is(env.commit.counters.appends, 1);
  state.isDown = false;
  t.is(await write, 0);
  await closeAll(env);
});

test('a lagging read leads to a duplicate append; the write resolves with the first position', async (t) => {
  const state = { appends: 0, isLagging: true };
  const env = createEnvironment({
    loseReply: () => (state.appends += 1) === 1,
    lagRecords: () => (state.isLagging ? 1 : 0),
  });
  const write = env.commit.write('a', { id: 'a' });
  await waitUntil(() => state.appends === 2);
  state.isLagging = false;
  t.is(await write, 0);
  t.is(env.log.next, 2);
  t.is(env.commit.counters.entries, 1);
  await closeAll(env);
});

test('a throttled append is retried after the given delay without reading the log', async (t) => {
  let calls = 0;
  const env = createEnvironment({ throttleMs: () => ((calls += 1) === 1 ? 3 : undefined) });
  t.is(await env.commit.write('a'), 0);
  t.like(env.commit.counters, { appends: 2, retries: 1, readBacks: 0 });
  await closeAll(env);
});

test('a write abandoned in the queue does not take effect', async (t) => {
  const env = createEnvironment({ down: () => true });
  const sent = env.commit.write('sent', { timeoutMs: 60_000 });
  await waitUntil(() => env.commit.counters.appends > 0);
  const failure = await t.throwsAsync(env.commit.write('queued', { timeoutMs: 5 }), {
    instanceOf: WriteAbandoned,
  });
  t.false(failure.mayTakeEffect);
  t.true(failure.notRun);
  const closed = t.throwsAsync(sent, { instanceOf: WriteAbandoned });
  await closeAll(env);
  await closed;
});

test('a write abandoned after its append was sent may take effect', async (t) => {
  const env = createEnvironment({ down: () => true });
  const failure = await t.throwsAsync(env.commit.write('sent', { timeoutMs: 50 }), {
    instanceOf: WriteAbandoned,
  });
  t.true(failure.mayTakeEffect);
  t.false(failure.notRun);
  await closeAll(env);
});

test('a write that was only throttled does not take effect once abandoned', async (t) => {
  const env = createEnvironment({ throttleMs: () => 1 });
  const failure = await t.throwsAsync(env.commit.write('a', { timeoutMs: 30 }), {
    instanceOf: WriteAbandoned,
  });
  t.false(failure.mayTakeEffect);
  await sleep(10);
  t.is(env.log.next, 0);
  await closeAll(env);
});

test('close rejects pending and later writes', async (t) => {
  const env = createEnvironment({ down: () => true });
  const write = env.commit.write('a');
  await waitUntil(() => env.commit.counters.appends > 0);
  const rejected = t.throwsAsync(write, { instanceOf: WriteAbandoned });
  await env.commit.close();
  t.true((await rejected).mayTakeEffect);
  const late = await t.throwsAsync(env.commit.write('b'), { instanceOf: WriteAbandoned });
  t.false(late.mayTakeEffect);
  await closeAll(env);
});

test('writes are rejected when the queue is full or the entry is too large', async (t) => {
  const env = createEnvironment({ down: () => true }, { maxQueued: 1, recordLimitBytes: 1_024 });
  await t.throwsAsync(env.commit.write('x'.repeat(2_000)), { instanceOf: LogRecordTooLarge });
  const first = env.commit.write('a');
  await waitUntil(() => env.commit.counters.appends > 0);
  const second = env.commit.write('b');
  await t.throwsAsync(env.commit.write('c'), { instanceOf: WriteQueueFull });
  const rejected = Promise.all([t.throwsAsync(first), t.throwsAsync(second)]);
  await closeAll(env);
  await rejected;
});

test('the queue is bounded in bytes, and abandoned writes free their space', async (t) => {
  const env = createEnvironment({ down: () => true }, { maxQueuedBytes: 1_000 });
  const first = t.throwsAsync(env.commit.write('a'));
  await waitUntil(() => env.commit.counters.appends > 0);
  const large = 'x'.repeat(600);
  await t.throwsAsync(
    Promise.all([
      env.commit.write(large, { timeoutMs: 5 }),
      t.throwsAsync(env.commit.write(large), { instanceOf: WriteQueueFull }),
    ]),
    { instanceOf: WriteAbandoned },
  );
  t.is(env.commit.queued, 0);
  const again = t.throwsAsync(env.commit.write(large), { instanceOf: WriteAbandoned });
  t.is(env.commit.queued, 1);
  await closeAll(env);
  await Promise.all([first, again]);
});

test('a batch that exceeds the record limit of the log is split, and only the oversized entry is rejected', async (t) => {
  const log = new MemoryLog({ recordLimitBytes: 400 });
  const source = createFollower(log);
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

test('concurrent writes with the same identifier are one write', async (t) => {
  const env = createEnvironment();
  const [first, second] = await Promise.all([
    env.commit.write('a', { id: 'same' }),
    env.commit.write('a', { id: 'same' }),
  ]);
  t.is(first, second);
  t.is(env.commit.counters.entries, 1);
  await closeAll(env);
});

test('under random faults every resolved write is in the log at its position', async (t) => {
  const runs = fc.asyncProperty(
    fc.array(fc.constantFrom('ok', 'down', 'lost', 'throttled'), { maxLength: 12 }),
    fc.integer({ min: 1, max: 20 }),
    async (faultPlan, count) => {
      let call = -1;
      const currentFault = (): string => faultPlan[call] ?? 'ok';
      const env = createEnvironment({
        down: (kind) => kind === 'append' && ((call += 1), currentFault() === 'down'),
        throttleMs: () => (currentFault() === 'throttled' ? 1 : undefined),
        loseReply: () => currentFault() === 'lost',
      });
      const ids = Array.from({ length: count }, (_, index) => `w${index}`);
      const writes = ids.map(async (id, index) => {
        if (index % 3 === 0) await sleep(index % 5);
        return { id, position: await env.commit.write(id, { id }) };
      });
      for (const { id, position } of await Promise.all(writes)) {
        const record = env.log.records[Math.floor(position / 1_024)];
        const body = record?.body as { readonly entries: readonly { readonly id: string }[] };
        t.is(body.entries[position % 1_024]?.id, id);
      }
      const inLog = env.log.records.flatMap(
        ({ body }) => (body as { readonly entries: readonly unknown[] }).entries,
      );
      t.is(inLog.length, count);
      await closeAll(env);
    },
  );
  await fc.assert(runs, { seed: 7, numRuns: 30 });
});
