import test from 'ava';
import { InvalidInput } from '@ragwortrudder/core';
import {
  MemoryLog,
  PrefixFork,
  PrefixGap,
  PrefixOlder,
  PrefixUnavailable,
  SnapshotInvalid,
} from '@ragwortrudder/log';
import type { LogFollower, Prefix } from '@ragwortrudder/log';
import { appendAll, createFollower } from './helpers.ts';

type Follower = LogFollower<readonly string[]>;

const unavailableLog = (): MemoryLog => new MemoryLog({ faults: { down: () => true } });

async function createCaughtUpFollower(
  ids: readonly string[],
  tailRecords = 1_024,
): Promise<Follower> {
  const log = new MemoryLog({ clock: { wall: () => 1, monotonic: () => 1 } });
  await appendAll(log, ids);
  const follower = createFollower(log, { tailRecords });
  await follower.readToEnd();
  return follower;
}

function serialized(prefix: Prefix): unknown {
  return JSON.parse(JSON.stringify(prefix));
}

test('a follower that starts during an outage catches up from a peer page by page', async (t) => {
  const peer = await createCaughtUpFollower(['a', 'b', 'c']);
  const follower = createFollower(unavailableLog());
  t.is(follower.applyPrefix(serialized(peer.exportPrefix({ from: follower.next, limit: 2 }))), 2);
  t.false(follower.caughtUp);
  t.is(follower.applyPrefix(serialized(peer.exportPrefix({ from: follower.next, limit: 2 }))), 1);
  t.true(follower.caughtUp);
  t.is(follower.hash, peer.hash);
  t.deepEqual(follower.state, peer.state);
});

test('records that are no longer retained are exported as a snapshot', async (t) => {
  const ids = Array.from({ length: 20 }, (_, index) => `e${index}`);
  const peer = await createCaughtUpFollower(ids, 4);
  const follower = createFollower(unavailableLog());
  t.is(follower.applyPrefix(serialized(peer.exportPrefix({ from: 0, limit: 100 }))), 20);
  t.true(follower.caughtUp);
  t.deepEqual(follower.state, peer.state);
  t.is(follower.hash, peer.hash);
});

test('the records retained for peers are bounded in size as well', async (t) => {
  const log = new MemoryLog();
  await appendAll(
    log,
    Array.from({ length: 20 }, (_, index) => `${index}${'x'.repeat(100)}`),
  );
  const peer = createFollower(log, { tailBytes: 1_000 });
  await peer.readToEnd();
  t.truthy(peer.exportPrefix({ from: 0, limit: 100 }).snapshot);
  const kept = Array.from({ length: 20 }, (_, from) => peer.exportPrefix({ from, limit: 100 }));
  t.true(kept.some(({ snapshot }) => snapshot === undefined));
  t.true(Math.max(...kept.map(({ records }) => JSON.stringify(records).length)) < 10_000);
  const follower = createFollower(unavailableLog());
  follower.applyPrefix(serialized(peer.exportPrefix({ from: 0, limit: 100 })));
  t.is(follower.hash, peer.hash);
});

test('repeated and overlapping prefixes add only new records', async (t) => {
  const peer = await createCaughtUpFollower(['a', 'b', 'c']);
  const follower = createFollower(unavailableLog());
  follower.applyPrefix(serialized(peer.exportPrefix({ from: 0, limit: 2 })));
  t.is(follower.applyPrefix(serialized(peer.exportPrefix({ from: 0, limit: 10 }))), 1);
  t.is(follower.applyPrefix(serialized(peer.exportPrefix({ from: 0, limit: 10 }))), 0);
  t.deepEqual(follower.state, peer.state);
});

test('prefixes with a gap, a fork or an older end are rejected and change nothing', async (t) => {
  const peer = await createCaughtUpFollower(['a', 'b', 'c']);
  const other = await createCaughtUpFollower(['a', 'x', 'y', 'z']);
  const follower = createFollower(unavailableLog());
  t.throws(() => follower.applyPrefix(serialized(peer.exportPrefix({ from: 1, limit: 9 }))), {
    instanceOf: PrefixGap,
  });
  follower.applyPrefix(serialized(peer.exportPrefix({ from: 0, limit: 9 })));
  const { hash, state } = follower;
  t.throws(() => follower.applyPrefix(serialized(other.exportPrefix({ from: 3, limit: 9 }))), {
    instanceOf: PrefixFork,
  });
  t.throws(() => follower.applyPrefix(serialized(other.exportPrefix({ from: 0, limit: 9 }))), {
    instanceOf: PrefixFork,
  });
  t.throws(() => follower.applyPrefix(serialized(peer.exportPrefix({ from: 0, limit: 2 }))), {
    instanceOf: PrefixOlder,
  });
  t.is(follower.hash, hash);
  t.is(follower.state, state);
});

test('a forged record, a forged snapshot and a malformed prefix are rejected', async (t) => {
  const peer = await createCaughtUpFollower(['a', 'b']);
  const prefix = peer.exportPrefix({ from: 0, limit: 9 });
  const records = prefix.records.map(({ record, hash }) => ({
    record: { ...record, body: { entries: [{ id: 'forged', body: 1 }] } },
    hash,
  }));
  const follower = createFollower(unavailableLog());
  t.throws(() => follower.applyPrefix(serialized({ ...prefix, records })), {
    instanceOf: PrefixFork,
  });
  const ids = Array.from({ length: 20 }, (_, index) => `e${index}`);
  const full = (await createCaughtUpFollower(ids, 4)).exportPrefix({ from: 0, limit: 9 });
  const snapshot = { digest: full.snapshot?.digest ?? '', data: ['forged'] };
  t.throws(() => follower.applyPrefix(serialized({ ...full, snapshot })), {
    instanceOf: SnapshotInvalid,
  });
  t.throws(() => follower.applyPrefix({ records: 1 }), { instanceOf: InvalidInput });
  t.is(follower.next, 0);
  t.false(follower.caughtUp);
});

test('a follower that has not caught up exports no prefix', (t) => {
  const follower = createFollower(unavailableLog());
  t.throws(() => follower.exportPrefix({ from: 0, limit: 1 }), { instanceOf: PrefixUnavailable });
});

test('a follower resumes reading the log after applying a prefix from a peer', async (t) => {
  const log = new MemoryLog();
  await appendAll(log, ['a', 'b']);
  const peer = createFollower(log);
  await peer.readToEnd();
  const follower = createFollower(log);
  follower.applyPrefix(serialized(peer.exportPrefix({ from: 0, limit: 9 })));
  await appendAll(log, ['c']);
  await follower.readToEnd();
  await peer.readToEnd();
  t.is(follower.hash, peer.hash);
});
