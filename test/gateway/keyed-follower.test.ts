import test from 'ava';
import type { ExecutionContext } from 'ava';
import { ManualClock, SeededRandom, SystemClock } from '@ragwortrudder/core';
import type { Clock } from '@ragwortrudder/core';
import { LogUnavailable, MemoryKeyedLog } from '@ragwortrudder/log';
import type { KeyedLog, KeyedRecord } from '@ragwortrudder/log';
import { KeyedFollower } from '../../packages/gateway/src/node/keyed-follower.ts';
import type { TopicFeed } from '../../packages/gateway/src/types/topic-feed.ts';
import { encodeChange } from '../../packages/gateway/src/utils/encode-change.ts';

interface TestEnvironment {
  readonly follower: KeyedFollower;
  readonly records: readonly KeyedRecord[];
  readonly reads: () => number;
  readonly outages: () => number;
  readonly recoveries: () => number;
}

interface FollowerOptions {
  /** @default 0 */
  readonly waitMs?: number;
  /** @default PAUSE_MS */
  readonly pauseMs?: number;
  /** @default the clock of the system */
  readonly clock?: Clock;
  /** Called when records are applied. */
  readonly onApply?: () => void;
  /** Receives each range that was read. */
  readonly publishFeed?: (feed: TopicFeed) => void;
}

const PAUSE_MS = 20;
const LONG_POLL_MS = 300;

function startFollower(
  t: ExecutionContext,
  log: KeyedLog,
  isReader: boolean,
  {
    waitMs = 0,
    pauseMs = PAUSE_MS,
    clock = new SystemClock(),
    onApply,
    publishFeed,
  }: FollowerOptions = {},
): TestEnvironment {
  const records: KeyedRecord[] = [];
  let reads = 0;
  let outages = 0;
  let recoveries = 0;
  const countingLog: KeyedLog = {
    get era() {
      return log.era;
    },
    newest: (topic) => log.newest(topic),
    append: (append) => log.append(append),
    read: (read) => {
      reads += 1;
      return log.read(read);
    },
  };
  const follower = new KeyedFollower({
    log: countingLog,
    topic: 'topic',
    clock,
    random: new SeededRandom(1),
    waitMs,
    pauseMs,
    isReader: () => isReader,
    onSnapshot: (snapshot) => records.push(...snapshot),
    onRecords: (more) => {
      records.push(...more);
      onApply?.();
    },
    onRange: (range, read) => {
      publishFeed?.({ topic: 'topic', ...range, changes: read.map(encodeChange), isWhole: false });
    },
    onUnavailable: () => {
      outages += 1;
    },
    onRecovered: () => {
      recoveries += 1;
    },
  });
  follower.start();
  t.teardown(() => follower.close());
  return {
    follower,
    records,
    reads: () => reads,
    outages: () => outages,
    recoveries: () => recoveries,
  };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 2));
}

function record(key: string, offset: number): KeyedRecord {
  return { key, value: Buffer.from(key), offset };
}

async function logWith(...keys: readonly string[]): Promise<MemoryKeyedLog> {
  const log = new MemoryKeyedLog();
  for (const key of keys) await log.append({ topic: 'topic', key, value: Buffer.from(key) });
  return log;
}

test('pattern: many nodes; a node that receives the feed of a reader does not read itself', async (t) => {
  const { follower, reads } = startFollower(t, await logWith('a'), false);
  await waitUntil(() => reads() > 0);
  follower.applyFeed({ from: 1, next: 1, era: 0 }, [], true);
  const before = reads();
  for (let round = 0; round < 10; round += 1) {
    await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
    follower.applyFeed({ from: 1, next: 1, era: 0 }, [], true);
  }
  t.true(reads() <= before + 1, `${before}, ${reads()}`);
});

test('two readers that receive each other’s feeds do not both stop reading', async (t) => {
  const { follower, reads } = startFollower(t, await logWith('a'), true);
  await waitUntil(() => reads() > 0);
  const before = reads();
  follower.applyFeed({ from: 1, next: 1, era: 0 }, [], true);
  await waitUntil(() => reads() > before + 2);
  t.pass();
});

// Guards against open polls of all readers of a failure domain for the same records.
test('pattern: many nodes; of two readers that wait for new records one waits at the log', async (t) => {
  const log = await logWith('a');
  const readers: TestEnvironment[] = [];
  const startReader = (other: number): TestEnvironment =>
    startFollower(t, log, true, {
      waitMs: LONG_POLL_MS,
      pauseMs: 0,
      publishFeed: (feed) => readers[other]?.follower.applyFeed(feed, [], feed.isWhole),
    });
  readers.push(startReader(1), startReader(0));
  const countReads = (): number => readers.reduce((sum, { reads }) => sum + reads(), 0);
  await waitUntil(() => readers.every(({ records }) => records.length === 1));
  const before = countReads();
  await new Promise((resolve) => setTimeout(resolve, 10 * LONG_POLL_MS));
  const reads = countReads() - before;
  t.true(reads <= 14, `${reads} reads in ten waits`);
  await log.append({ topic: 'topic', key: 'b', value: Buffer.from('b') });
  await waitUntil(() => readers.every(({ records }) => records.length === 2));
});

test('pattern: the log rejects the reads of one node; the node follows the feed of a peer', async (t) => {
  const log = await logWith('a');
  let isUnavailable = false;
  const flakyLog: KeyedLog = {
    get era() {
      return log.era;
    },
    newest: (topic) => log.newest(topic),
    append: (append) => log.append(append),
    read: (read) => {
      if (isUnavailable) return Promise.reject(new LogUnavailable('read rejected'));
      return log.read(read);
    },
  };
  const { follower, records, outages, recoveries } = startFollower(t, flakyLog, true);
  await waitUntil(() => records.length === 1);
  isUnavailable = true;
  await waitUntil(() => outages() === 1);
  follower.applyFeed({ from: 1, next: 2, era: 0 }, [record('b', 1)], true);
  t.deepEqual(
    records.map(({ key }) => key),
    ['a', 'b'],
  );
  t.is(recoveries(), 1);
});

// Guards against a record that waits for seconds because the one before took long to apply (CONFIG).
test('a record is read soon after one that took long to apply', async (t) => {
  const log = await logWith('a');
  const clock = new ManualClock();
  const { records } = startFollower(t, log, true, {
    clock,
    onApply: () => {
      clock.advance(900);
    },
  });
  await waitUntil(() => records.length === 1);
  await log.append({ topic: 'topic', key: 'b', value: Buffer.from('b') });
  await waitUntil(() => records.length === 2);
  const startedAt = performance.now();
  await log.append({ topic: 'topic', key: 'c', value: Buffer.from('c') });
  await waitUntil(() => records.length === 3);
  const tookMs = performance.now() - startedAt;
  t.true(tookMs < 2_000, `${tookMs} ms`);
});

// Guards against a change that a node never learns of: the reader that tells of it compares it with what it has itself.
test('a reader tells only of the records that no feed has brought it during its read', async (t) => {
  const log = await logWith('a', 'b');
  let letRead: () => void = () => undefined;
  const mayRead = new Promise<void>((resolve) => {
    letRead = resolve;
  });
  const slowLog: KeyedLog = {
    get era() {
      return log.era;
    },
    newest: (topic) => log.newest(topic),
    append: (append) => log.append(append),
    read: async (read) => {
      await mayRead;
      return log.read(read);
    },
  };
  const feeds: TopicFeed[] = [];
  const { follower, records, reads } = startFollower(t, slowLog, true, {
    publishFeed: (feed) => feeds.push(feed),
  });
  await waitUntil(() => reads() === 1);
  await log.append({ topic: 'topic', key: 'c', value: Buffer.from('c') });
  follower.applyFeed({ from: 2, next: 3, era: 0 }, [record('c', 2)], true);
  t.is(records.length, 3);
  await log.append({ topic: 'topic', key: 'd', value: Buffer.from('d') });
  letRead();
  await waitUntil(() => feeds.length > 0);
  t.is(feeds[0]?.from, 3);
  t.deepEqual(
    feeds[0]?.changes.map(([key]) => key),
    ['d'],
  );
});

// Guards against following the log at an offset that it gave out again (CONFIG).
test('pattern: store restored; a feed of a newer era makes a node read the records anew', async (t) => {
  const log = await logWith('a', 'b');
  const { follower, records } = startFollower(t, log, false);
  await waitUntil(() => records.length === 2);
  follower.applyFeed({ from: 2, next: 2, era: 0 }, [], true);
  const copy = log.copy();
  log.restore(copy);
  await log.append({ topic: 'topic', key: 'c', value: Buffer.from('c') });
  follower.applyFeed({ from: 2, next: 3, era: 1 }, [record('c', 2)], true);
  await waitUntil(() => records.length === 5);
  t.deepEqual(
    records.map(({ key }) => key),
    ['a', 'b', 'a', 'b', 'c'],
  );
});

// Guards against following the log at an offset that it gave out again (CONFIG).
test('pattern: store restored; feeds of a node that has not seen the change are not applied', async (t) => {
  const log = await logWith('a');
  const copy = log.copy();
  const { follower, records } = startFollower(t, log, true);
  await waitUntil(() => records.length === 1);
  log.restore(copy);
  await waitUntil(() => records.length === 2);
  follower.applyFeed({ from: 1, next: 2, era: 0 }, [record('lost', 1)], true);
  await log.append({ topic: 'topic', key: 'new', value: Buffer.from('new') });
  await waitUntil(() => records.length === 3);
  t.is(records.at(-1)?.key, 'new');
});
