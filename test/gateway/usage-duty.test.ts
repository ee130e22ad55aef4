import { Writable } from 'node:stream';
import test from 'ava';
import { ManualClock, SeededRandom } from '@ragwortrudder/core';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import { DecisionLog } from '../../packages/gateway/src/node/decision-log.ts';
import type { DutyTermStore } from '../../packages/gateway/src/node/duty-term-store.ts';
import { createTermStore } from './create-term-store.ts';
import { UsageDuty } from '../../packages/gateway/src/node/usage-duty.ts';
import { TermVacancy } from '../../packages/gateway/src/utils/term-vacancy.ts';
import { UsageCounter } from '../../packages/gateway/src/utils/usage-counter.ts';
import { InMemoryCloudApi } from './in-memory-cloud-api.ts';

interface TestHolder {
  readonly termStore: DutyTermStore;
  readonly duty: UsageDuty;
  readonly usage: UsageCounter;
}

interface HolderOptions {
  readonly log: MemoryKeyedLog;
  readonly cloud: InMemoryCloudApi;
  readonly clock: ManualClock;
  /** Time for which a peer that is presumed alive has been silent, in milliseconds. */
  readonly silentMs?: () => number;
}

const WINDOW_MS = 5_000;
const START_MS = 1_000 * WINDOW_MS;

function createHolder(node: string, options: HolderOptions): TestHolder {
  const { log, cloud, clock, silentMs = (): number => 0 } = options;
  const usage = new UsageCounter(WINDOW_MS, `${node} 1`);
  const duty = new UsageDuty({
    cloud,
    usage,
    peers: { hasSilentPeer: (ms) => silentMs() > ms },
    disciplinedClock: { now: () => clock.wall() },
    log: new DecisionLog({
      node,
      out: new Writable({
        write: (_c, _e, done) => {
          done();
        },
      }),
      clock,
    }),
    windowMs: WINDOW_MS,
    lateMs: 10_000,
  });
  return { termStore: createTermStore({ log, node, clock }), duty, usage };
}

test('a window is reported in a single call once its counts are final', async (t) => {
  const clock = new ManualClock(START_MS);
  const cloud = new InMemoryCloudApi();
  const { termStore, duty, usage } = createHolder('n1', {
    log: new MemoryKeyedLog(),
    cloud,
    clock,
  });
  await termStore.takeOver();
  duty.begin(termStore);
  usage.recordStart('a', clock.wall());
  clock.advance(WINDOW_MS);
  await duty.perform(termStore);
  t.is(cloud.calls.length, 0);
  clock.advance(1_600);
  await duty.perform(termStore);
  await duty.perform(termStore);
  t.deepEqual(
    cloud.calls.map(({ report }) => report),
    [{ window: 1_000, counts: { a: 1 } }],
  );
});

test('a successor resends the recorded counts instead of its own', async (t) => {
  const clock = new ManualClock(START_MS);
  const log = new MemoryKeyedLog();
  const cloud = new InMemoryCloudApi();
  const first = createHolder('n1', { log, cloud, clock });
  await first.termStore.takeOver();
  first.duty.begin(first.termStore);
  first.usage.recordStart('a', clock.wall());
  clock.advance(WINDOW_MS + 1_600);
  cloud.isDown = true;
  await t.throwsAsync(first.duty.perform(first.termStore));
  cloud.isDown = false;
  const second = createHolder('n2', { log, cloud, clock });
  second.usage.recordStart('a', START_MS);
  second.usage.recordStart('a', START_MS);
  await second.termStore.takeOver();
  second.duty.begin(second.termStore);
  await second.duty.perform(second.termStore);
  await first.duty.perform(first.termStore);
  const reports = cloud.calls.map(({ report }) => report);
  t.true(reports.length >= 1);
  for (const report of reports) t.deepEqual(report, { window: 1_000, counts: { a: 1 } });
});

test('pattern: a failure domain is partitioned; its counts are awaited while there is time', async (t) => {
  const clock = new ManualClock(START_MS);
  const cloud = new InMemoryCloudApi();
  let silent = 6_000;
  const silentMs = (): number => silent;
  const { termStore, duty, usage } = createHolder('n1', {
    log: new MemoryKeyedLog(),
    cloud,
    clock,
    silentMs,
  });
  await termStore.takeOver();
  duty.begin(termStore);
  usage.recordStart('a', clock.wall());
  clock.advance(WINDOW_MS + 4_000);
  await duty.perform(termStore);
  t.is(cloud.calls.length, 0);
  usage.mergePeerCounts('p 1', new Map([[1_000, new Map([['a', 2]])]]));
  silent = 100;
  await duty.perform(termStore);
  t.deepEqual(cloud.calls[0]?.report, { window: 1_000, counts: { a: 3 } });
});

test('a window is reported in time without the counts of peers that stay silent', async (t) => {
  const clock = new ManualClock(START_MS);
  const cloud = new InMemoryCloudApi();
  const silentMs = (): number => 60_000;
  const { termStore, duty, usage } = createHolder('n1', {
    log: new MemoryKeyedLog(),
    cloud,
    clock,
    silentMs,
  });
  await termStore.takeOver();
  duty.begin(termStore);
  usage.recordStart('a', clock.wall());
  clock.advance(WINDOW_MS + 6_500);
  await duty.perform(termStore);
  t.is(cloud.calls.length, 1);
});

test('pattern: all nodes are killed within a window; counts from before are still reported', async (t) => {
  const clock = new ManualClock(START_MS);
  const log = new MemoryKeyedLog();
  const cloud = new InMemoryCloudApi();
  const first = createHolder('n1', { log, cloud, clock });
  await first.termStore.takeOver();
  first.duty.begin(first.termStore);
  first.usage.recordStart('a', clock.wall());
  first.usage.mergePeerCounts('n2 1', new Map([[1_000, new Map([['a', 4]])]]));
  await first.duty.perform(first.termStore);
  const second = createHolder('n3', { log, cloud, clock });
  second.usage.recordStart('a', clock.wall());
  await second.termStore.takeOver();
  second.duty.begin(second.termStore);
  clock.advance(WINDOW_MS + 1_600);
  await second.duty.perform(second.termStore);
  t.deepEqual(cloud.calls[0]?.report, { window: 1_000, counts: { a: 6 } });
});

test('checkpointed counts are not added to newer counts of the same incarnation', (t) => {
  const usage = new UsageCounter(WINDOW_MS, 'n1 1');
  usage.recordStart('a', START_MS);
  usage.mergePeerCounts('n2 1', new Map([[1_000, new Map([['a', 4]])]]));
  usage.mergeCheckpoint({
    lives: {
      'n1 1': { '1000': { a: 1 } },
      'n2 1': { '1000': { a: 3 } },
      'n3 1': { '1000': { a: 2 } },
    },
  });
  t.deepEqual(usage.reportOf(1_000).counts, { a: 7 });
});

// Guards against reporting usage again that a restored log shows as not reported (CONFIG).
test('pattern: store restored; a successor does not report a window whose report may be lost', async (t) => {
  const clock = new ManualClock(START_MS);
  const log = new MemoryKeyedLog();
  const cloud = new InMemoryCloudApi();
  const first = createHolder('n1', { log, cloud, clock });
  await first.termStore.takeOver();
  first.duty.begin(first.termStore);
  const copy = log.copy();
  first.usage.recordStart('a', clock.wall());
  clock.advance(WINDOW_MS + 1_600);
  await first.duty.perform(first.termStore);
  log.restore(copy);
  const second = createHolder('n2', { log, cloud, clock });
  second.usage.recordStart('a', START_MS);
  second.usage.recordStart('a', START_MS);
  second.usage.recordStart('a', clock.wall());
  await second.termStore.takeOver();
  second.duty.begin(second.termStore);
  await second.duty.perform(second.termStore);
  clock.advance(WINDOW_MS);
  await second.duty.perform(second.termStore);
  t.deepEqual(
    cloud.calls.map(({ report }) => report),
    [
      { window: 1_000, counts: { a: 1 } },
      { window: 1_001, counts: { a: 1 } },
    ],
  );
});

// Guards against reporting a window again that a predecessor knew it had to skip (ONE).
test('pattern: store restored; no later holder reports a window that its predecessor skipped', async (t) => {
  const clock = new ManualClock(START_MS);
  const log = new MemoryKeyedLog();
  const cloud = new InMemoryCloudApi();
  const first = createHolder('n1', { log, cloud, clock });
  await first.termStore.takeOver();
  first.duty.begin(first.termStore);
  const copy = log.copy();
  first.usage.recordStart('a', clock.wall());
  clock.advance(WINDOW_MS + 1_600);
  await first.duty.perform(first.termStore);
  log.restore(copy);
  for (const node of ['n2', 'n3', 'n4']) {
    const next = createHolder(node, { log, cloud, clock });
    next.usage.recordStart('a', START_MS);
    next.usage.recordStart('a', START_MS);
    await next.termStore.takeOver();
    next.duty.begin(next.termStore);
    // The second one is stopped before it has performed anything.
    if (node === 'n2') continue;
    await next.duty.perform(next.termStore);
    t.true(await next.termStore.settle());
  }
  t.deepEqual(
    cloud.calls.map(({ report }) => report),
    [{ window: 1_000, counts: { a: 1 } }],
  );
});

interface Contender extends TestHolder {
  readonly node: string;
  readonly vacancy: TermVacancy;
}

/** Does what the holder of the duties does in one period; any call may fail. */
async function contend(
  { termStore, duty, vacancy }: Contender,
  now: number,
  isStopped: () => boolean,
): Promise<void> {
  if (!termStore.term) {
    if (vacancy.hasBaseline && vacancy.remainingMs(now, undefined) > 0) return;
    const view = await termStore.observe();
    vacancy.observe(view, now);
    if (vacancy.remainingMs(now, undefined) > 0) return;
    if ((await termStore.takeOver(view.position)).isTaken) duty.begin(termStore);
    return;
  }
  vacancy.recordHeld(now);
  if (!(await termStore.confirm()) || isStopped()) return;
  await duty.perform(termStore);
  if (!isStopped()) await termStore.settle();
}

// Guards against two reports of one window, whatever restores and take-overs come together (ONE).
test('pattern: restores, stops and lost replies in any order; each window is reported with one count', async (t) => {
  let reports = 0;
  for (let seed = 1; seed <= 200; seed += 1) {
    const random = new SeededRandom(seed);
    const clock = new ManualClock(START_MS);
    const log = new MemoryKeyedLog();
    const cloud = new InMemoryCloudApi();
    const contenders = new Map<string, Contender>();
    const copies: { readonly at: number; readonly copy: ReturnType<MemoryKeyedLog['copy']> }[] = [];
    const cutUntil = new Map<string, number>();
    for (let step = 0; step < 250; step += 1) {
      clock.advance(250);
      copies.push({ at: clock.wall(), copy: log.copy() });
      const draw = random.next();
      if (draw < 0.03) {
        const ageMs = random.next() * 5_000;
        const old = copies.findLast(({ at }) => at <= clock.wall() - ageMs);
        if (old) log.restore(old.copy);
      }
      for (const node of ['n1', 'n2', 'n3']) {
        const contender = contenders.get(node) ?? {
          node,
          ...createHolder(node, { log, cloud, clock }),
          vacancy: new TermVacancy({ node, leaseMs: 3_000 }),
        };
        contenders.set(node, contender);
        contender.usage.recordStart('a', clock.wall() - random.next() * 3_000);
        if (random.next() < 0.01) cutUntil.set(node, clock.wall() + random.next() * 8_000);
        if (clock.wall() < (cutUntil.get(node) ?? 0)) continue;
        if (random.next() < 0.1) log.loseReplies(1);
        const isStopped = random.next() < 0.02;
        await contend(contender, clock.monotonic(), () => isStopped).catch(() => undefined);
        log.loseReplies(0);
        if (isStopped) contenders.delete(node);
      }
    }
    const counts = new Map<number, string>();
    for (const { report } of cloud.calls) {
      if (!report) continue;
      const text = JSON.stringify(report.counts);
      t.is(counts.get(report.window) ?? text, text, `seed ${seed}, window ${report.window}`);
      counts.set(report.window, text);
      reports += 1;
    }
  }
  t.true(reports > 200);
});
