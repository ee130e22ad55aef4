import test from 'ava';
import fc from 'fast-check';
import type { Fold, Log, LogRecord, RejectedRecord } from '@ragwortrudder/log';
import { createFollower, listFold, waitUntil } from './helpers.ts';

const SEED = 32;
const DEEP = 60_000;

function nested(levels: number): unknown {
  return JSON.parse(`${'['.repeat(levels)}${']'.repeat(levels)}`) as unknown;
}

/** Log with these bodies, which another writer may have appended. */
function logOf(bodies: readonly unknown[]): Log {
  const records = bodies.map((body, offset): LogRecord => {
    return { offset, id: `record-${offset}`, time: offset, body };
  });
  return {
    append: () => Promise.resolve(0),
    read: ({ from, limit }) => {
      const page = records.slice(from, from + limit);
      return Promise.resolve({ records: page, next: records.length, first: 0 });
    },
  };
}

function entry(id: string, body: unknown = id): object {
  return { entries: [{ id, body }] };
}

// Guards against: a record that was nested very deeply kept every node from each record after it, since it
// could not be hashed.
for (const [kind, body] of [
  ['a deep record', nested(DEEP)],
  ['a deep entry', entry('odd', nested(DEEP))],
  ['a deep entry of a batch that is none', { entries: nested(DEEP) }],
  ['a deep part of a snapshot', entry('odd', { kind: 'snapshot-part', data: nested(DEEP) })],
] as const) {
  test(`pattern: a poisoned record of a stream; the records after it are followed: ${kind}`, async (t) => {
    const rejected: string[] = [];
    const onRejected = ({ offset, cause }: RejectedRecord): void => {
      rejected.push(`${offset} ${cause}`);
    };
    const log = logOf([entry('a'), body, entry('b')]);
    const follower = createFollower(log, { onRejected });
    follower.start();
    await waitUntil(() => follower.next === 3 || follower.failure !== undefined);
    t.is(follower.failure, undefined);
    t.deepEqual(follower.state, ['a="a"', 'b="b"']);
    t.is(rejected.length, 1);
    t.regex(rejected[0] ?? '', /^1 .*nested/);

    const other = createFollower(log, { pageRecords: 1 });
    await other.readToEnd();
    t.is(other.hash, follower.hash);
    const fed = createFollower(logOf([]));
    t.is(fed.applyPrefix(follower.exportPrefix({ from: 0, limit: 10 })), 3);
    t.is(fed.hash, follower.hash);
    await follower.close();
  });
}

// Guards against: an entry that the fold could not take kept every node from each record after it.
test('pattern: an entry that cannot be folded; the entries after it are followed', async (t) => {
  const fold: Fold<readonly string[]> = {
    ...listFold,
    apply: (state, item) => {
      if (item.id === 'odd') throw new RangeError('cannot be folded');
      return listFold.apply(state, item);
    },
  };
  const rejected: number[] = [];
  const follower = createFollower(logOf([entry('a'), entry('odd'), entry('b')]), {
    fold,
    onRejected: ({ offset }) => rejected.push(offset),
  });
  follower.start();
  await waitUntil(() => follower.next === 3 || follower.failure !== undefined);
  t.is(follower.failure, undefined);
  t.deepEqual(follower.state, ['a="a"', 'b="b"']);
  t.deepEqual(rejected, [1]);
  await follower.close();
});

test('whatever value a record has, the records after it are followed', async (t) => {
  await fc.assert(
    fc.asyncProperty(fc.array(fc.jsonValue({ maxDepth: 6 }), { maxLength: 8 }), async (bodies) => {
      const log = logOf([...bodies, ...bodies.map((body) => entry('odd', body)), entry('last')]);
      const follower = createFollower(log);
      await follower.readToEnd();
      t.true(follower.state.includes('last="last"'));
    }),
    { seed: SEED, numRuns: 200 },
  );
});
