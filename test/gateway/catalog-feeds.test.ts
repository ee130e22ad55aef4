import { PassThrough } from 'node:stream';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { RunnerDirectory } from '@ragwortrudder/catalog';
import { SeededRandom, SystemClock } from '@ragwortrudder/core';
import type { KeyedLog, KeyedRecord } from '@ragwortrudder/log';
import { PlatformCatalogCodec } from '@ragwortrudder/platform-adapter';
import { CatalogFollower } from '../../packages/gateway/src/node/catalog-follower.ts';
import { DecisionLog } from '../../packages/gateway/src/node/decision-log.ts';
import { Evacuations } from '../../packages/gateway/src/node/evacuations.ts';
import { GatewayMetrics } from '../../packages/gateway/src/node/gateway-metrics.ts';
import type { TopicFeed } from '../../packages/gateway/src/types/topic-feed.ts';

type Change = TopicFeed['changes'][number];

interface TestReader {
  readonly directory: RunnerDirectory;
  /** Appends records to the list. */
  readonly append: (...records: readonly Omit<KeyedRecord, 'offset'>[]) => void;
  /** Waits until the feeds cover the whole list; returns the changes they tell. */
  readonly changes: () => Promise<readonly Change[]>;
}

const BORN_MS = 1_000;

function entry(state = 'ready', born = BORN_MS): Buffer {
  const record = { service: 's', address: '127.0.0.1:1', zone: 'a', version: 'v1', slots: 4 };
  return Buffer.from(JSON.stringify({ ...record, state, born }));
}

/**
 * Starts a reader of a list. The pages of its snapshot are read at different times: `snapshot` is what
 * they have together, and `end` the end of the list at the time of the first one.
 */
async function startReader(
  t: ExecutionContext,
  {
    records,
    snapshot,
    end,
  }: {
    readonly records: readonly Omit<KeyedRecord, 'offset'>[];
    readonly snapshot: readonly KeyedRecord[];
    readonly end: number;
  },
): Promise<TestReader> {
  const list: KeyedRecord[] = records.map((record, offset) => ({ ...record, offset }));
  const feeds: TopicFeed[] = [];
  const clock = new SystemClock();
  const codec = new PlatformCatalogCodec();
  const directory = new RunnerDirectory({ clock });
  const log: KeyedLog = {
    era: 0,
    newest: (topic) =>
      Promise.resolve(
        topic === codec.runnerTopic
          ? { records: snapshot, next: end, era: 0 }
          : { records: [], next: 0, era: 0 },
      ),
    read: ({ topic, from }) => {
      const page = topic === codec.runnerTopic ? list.slice(from) : [];
      return Promise.resolve({ records: page, next: from + page.length, era: 0 });
    },
    append: () => Promise.resolve(0),
  };
  const decisions = new DecisionLog({ node: 'n', out: new PassThrough().resume(), clock });
  const metrics = new GatewayMetrics();
  const follower = new CatalogFollower({
    log,
    codec,
    clock,
    random: new SeededRandom(1),
    directory,
    evacuations: new Evacuations({ codec, clock, directory, decisions, metrics }),
    decisions,
    metrics,
    isReader: () => true,
    publishFeed: (feed) => {
      if (feed.topic === codec.runnerTopic) feeds.push(feed);
    },
    onConfiguration: () => undefined,
    onRollout: () => undefined,
  });
  follower.start();
  t.teardown(() => follower.close());
  const waitFor = async (next: number): Promise<void> => {
    while ((feeds.at(-1)?.next ?? 0) < next) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  };
  await waitFor(list.length);
  return {
    directory,
    append: (...added) => {
      for (const record of added) list.push({ ...record, offset: list.length });
    },
    changes: async () => {
      await waitFor(list.length);
      t.true(feeds.every(({ isWhole }) => isWhole));
      return feeds.flatMap(({ changes }) => changes);
    },
  };
}

const LISTED = { key: 'r1', value: entry() };
const REMOVED = { key: 'r1', value: undefined };

// Guards against requests to a runner that was removed while a reader read its snapshot: followers never learned of it (DRAIN).
test('pattern: runner that is removed between two pages of a snapshot; a feed tells of the removal', async (t) => {
  const reader = await startReader(t, { records: [LISTED, REMOVED], snapshot: [], end: 1 });
  t.deepEqual(await reader.changes(), [['r1', null, 1]]);
});

// Guards against requests to the address that a runner had before, of which a later page of a snapshot tells only the reader (ROUTE).
test('pattern: runner that starts again between two pages of a snapshot; a feed tells of its new boot', async (t) => {
  const next = { key: 'r1', value: entry('ready', BORN_MS + 1) };
  const reader = await startReader(t, {
    records: [LISTED, next],
    snapshot: [{ ...next, offset: 1 }],
    end: 1,
  });
  t.deepEqual(await reader.changes(), [['r1', next.value.toString('base64'), 1]]);
});

// Guards against requests to a draining runner, of which the reader knew from an answer and its followers did not (DRAIN).
test('pattern: runner that told the reader first that it is leaving; a feed tells it when the list does', async (t) => {
  const reader = await startReader(t, {
    records: [LISTED],
    snapshot: [{ ...LISTED, offset: 0 }],
    end: 1,
  });
  reader.directory.markLeaving({ id: 'r1', bornMs: BORN_MS });
  const draining = { key: 'r1', value: entry('draining') };
  reader.append(draining);
  t.deepEqual(await reader.changes(), [['r1', draining.value.toString('base64'), 1]]);
});

// Guards against a runner that is taken for expired, because its last words and its removal are read together (DRAIN).
test('pattern: runner that drains and is removed within one read; a feed tells both', async (t) => {
  const reader = await startReader(t, {
    records: [LISTED],
    snapshot: [{ ...LISTED, offset: 0 }],
    end: 1,
  });
  reader.append({ key: 'r1', value: entry('draining') }, REMOVED);
  const changes = await reader.changes();
  t.deepEqual(
    changes.map(([, value]) => value === null),
    [false, true],
  );
});

test('renewals that change nothing are not told, but for the first ones of a new runner', async (t) => {
  const reader = await startReader(t, {
    records: [LISTED],
    snapshot: [{ ...LISTED, offset: 0 }],
    end: 1,
  });
  const added = { key: 'r2', value: entry() };
  reader.append(LISTED, added, LISTED, added, added, added, LISTED);
  const changes = await reader.changes();
  t.deepEqual(
    changes.map(([key]) => key),
    ['r2', 'r2', 'r2'],
  );
});
