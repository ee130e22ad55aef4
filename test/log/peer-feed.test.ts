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
import { appendAll, follower } from './parts.ts';

type Follower = LogFollower<readonly string[]>;

const outage = (): MemoryLog => new MemoryLog({ faults: { down: () => true } });

async function filled(ids: readonly string[], tailRecords = 1_024): Promise<Follower> {
  const log = new MemoryLog({ clock: { wall: () => 1, monotonic: () => 1 } });
  await appendAll(log, ids);
  const one = follower(log, { tailRecords });
  await one.readToEnd();
  return one;
}

function sent(prefix: Prefix): unknown {
  return JSON.parse(JSON.stringify(prefix));
}

test('a follower that starts in an outage takes the newest prefix page by page', async (t) => {
  const peer = await filled(['a', 'b', 'c']);
  const one = follower(outage());
  t.is(one.offer(sent(peer.exportPrefix({ from: one.next, limit: 2 }))), 2);
  t.false(one.caughtUp);
  t.is(one.offer(sent(peer.exportPrefix({ from: one.next, limit: 2 }))), 1);
  t.true(one.caughtUp);
  t.is(one.hash, peer.hash);
  t.deepEqual(one.state, peer.state);
});

test('records that are no longer kept are handed out as a snapshot', async (t) => {
  const ids = Array.from({ length: 20 }, (_, index) => `e${index}`);
  const peer = await filled(ids, 4);
  const one = follower(outage());
  t.is(one.offer(sent(peer.exportPrefix({ from: 0, limit: 100 }))), 20);
  t.true(one.caughtUp);
  t.deepEqual(one.state, peer.state);
  t.is(one.hash, peer.hash);
});

test('the records kept for peers are bounded in size too', async (t) => {
  const log = new MemoryLog();
  await appendAll(
    log,
    Array.from({ length: 20 }, (_, index) => `${index}${'x'.repeat(100)}`),
  );
  const peer = follower(log, { tailBytes: 1_000 });
  await peer.readToEnd();
  t.truthy(peer.exportPrefix({ from: 0, limit: 100 }).snapshot);
  const kept = Array.from({ length: 20 }, (_, from) => peer.exportPrefix({ from, limit: 100 }));
  t.true(kept.some(({ snapshot }) => snapshot === undefined));
  t.true(Math.max(...kept.map(({ records }) => JSON.stringify(records).length)) < 10_000);
  const one = follower(outage());
  one.offer(sent(peer.exportPrefix({ from: 0, limit: 100 })));
  t.is(one.hash, peer.hash);
});

test('the same prefix twice, and one that overlaps, add only what is new', async (t) => {
  const peer = await filled(['a', 'b', 'c']);
  const one = follower(outage());
  one.offer(sent(peer.exportPrefix({ from: 0, limit: 2 })));
  t.is(one.offer(sent(peer.exportPrefix({ from: 0, limit: 10 }))), 1);
  t.is(one.offer(sent(peer.exportPrefix({ from: 0, limit: 10 }))), 0);
  t.deepEqual(one.state, peer.state);
});

test('a gap, a fork and an older prefix are refused and change nothing', async (t) => {
  const peer = await filled(['a', 'b', 'c']);
  const other = await filled(['a', 'x', 'y', 'z']);
  const one = follower(outage());
  t.throws(() => one.offer(sent(peer.exportPrefix({ from: 1, limit: 9 }))), {
    instanceOf: PrefixGap,
  });
  one.offer(sent(peer.exportPrefix({ from: 0, limit: 9 })));
  const { hash, state } = one;
  t.throws(() => one.offer(sent(other.exportPrefix({ from: 3, limit: 9 }))), {
    instanceOf: PrefixFork,
  });
  t.throws(() => one.offer(sent(other.exportPrefix({ from: 0, limit: 9 }))), {
    instanceOf: PrefixFork,
  });
  t.throws(() => one.offer(sent(peer.exportPrefix({ from: 0, limit: 2 }))), {
    instanceOf: PrefixOlder,
  });
  t.is(one.hash, hash);
  t.is(one.state, state);
});

test('a changed record and a changed snapshot are refused', async (t) => {
  const peer = await filled(['a', 'b']);
  const prefix = peer.exportPrefix({ from: 0, limit: 9 });
  const records = prefix.records.map(({ record, hash }) => ({
    record: { ...record, body: { entries: [{ id: 'forged', body: 1 }] } },
    hash,
  }));
  const one = follower(outage());
  t.throws(() => one.offer(sent({ ...prefix, records })), { instanceOf: PrefixFork });
  const ids = Array.from({ length: 20 }, (_, index) => `e${index}`);
  const full = (await filled(ids, 4)).exportPrefix({ from: 0, limit: 9 });
  const snapshot = { digest: full.snapshot?.digest ?? '', data: ['forged'] };
  t.throws(() => one.offer(sent({ ...full, snapshot })), { instanceOf: SnapshotInvalid });
  t.throws(() => one.offer({ records: 1 }), { instanceOf: InvalidInput });
  t.is(one.next, 0);
  t.false(one.caughtUp);
});

test('a follower that has not caught up hands out nothing', (t) => {
  const one = follower(outage());
  t.throws(() => one.exportPrefix({ from: 0, limit: 1 }), { instanceOf: PrefixUnavailable });
});

test('after a prefix from a peer it reads on from the log', async (t) => {
  const log = new MemoryLog();
  await appendAll(log, ['a', 'b']);
  const peer = follower(log);
  await peer.readToEnd();
  const one = follower(log);
  one.offer(sent(peer.exportPrefix({ from: 0, limit: 9 })));
  await appendAll(log, ['c']);
  await one.readToEnd();
  await peer.readToEnd();
  t.is(one.hash, peer.hash);
});
