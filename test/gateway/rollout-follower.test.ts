import test from 'ava';
import { ManualClock, SeededRandom } from '@ragwortrudder/core';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import { RolloutFollower } from '../../packages/gateway/src/node/rollout-follower.ts';
import { Rollouts } from '../../packages/gateway/src/node/rollouts.ts';
import type { TopicFeed } from '../../packages/gateway/src/types/topic-feed.ts';

const TOPIC = 'duties';
const TICK_MS = 200;
/** Time within which every node has to know a state: a takeover is completed after it. */
const KNOWN_MS = 1_500;
const LENGTH_MS = 60_000;
const NODES = 39;
const READERS = 2;

interface DomainOptions {
  /** Share of the feeds that a node does not receive. */
  readonly loss: number;
  /** Nodes whose reads the log rejects. */
  readonly rejected?: ReadonlySet<number>;
}

interface DomainResult {
  readonly reads: number;
  /** Longest time for which a node did not know the newest state, in milliseconds. */
  readonly latestMs: number;
}

/** A failure domain whose duty holder records a state each half second. */
async function runDomain({ loss, rejected }: DomainOptions): Promise<DomainResult> {
  const clock = new ManualClock();
  const random = new SeededRandom(7);
  const log = new MemoryKeyedLog();
  const followers: RolloutFollower[] = [];
  /** Sequence of the newest state that each node knows. */
  const sequences = Array.from({ length: NODES }, () => 0);
  let reads = 0;
  const publishFrom = (sender: number) => (feed: TopicFeed) => {
    for (const [index, follower] of followers.entries()) {
      if (index !== sender && random.next() >= loss) follower.applyFeed(feed);
    }
  };
  for (let index = 0; index < NODES; index += 1) {
    followers.push(
      new RolloutFollower({
        log: {
          newest: (topic) => {
            reads += 1;
            if (rejected?.has(index) === true) return Promise.reject(new Error('read rejected'));
            return log.newest(topic);
          },
        },
        rollouts: {
          isFollowing: true,
          applyState: (value) => {
            const { sequence } = value as { readonly sequence: number };
            sequences[index] = Math.max(sequences[index] ?? 0, sequence);
          },
        },
        clock,
        random,
        isReader: () => index < READERS,
        publishFeed: publishFrom(index),
      }),
    );
  }
  const recordedAt: number[] = [0];
  let latestMs = 0;
  for (let atMs = 0; atMs < LENGTH_MS; atMs += TICK_MS / 2) {
    clock.advance(TICK_MS / 2);
    if (atMs % 500 === 0) {
      const sequence = recordedAt.length;
      const value = Buffer.from(JSON.stringify({ sequence }));
      await log.append({ topic: TOPIC, key: Rollouts.keyOf('s'), value });
      recordedAt.push(clock.monotonic());
    }
    for (const [index, follower] of followers.entries()) {
      if ((atMs / (TICK_MS / 2) + index) % 2 === 0) await follower.update().catch(() => undefined);
    }
    for (const sequence of sequences) {
      const missing = recordedAt[sequence + 1];
      if (missing !== undefined) latestMs = Math.max(latestMs, clock.monotonic() - missing);
    }
  }
  return { reads, latestMs };
}

// Guards against store calls that grow with the number of nodes while a version is rolled out.
test('pattern: many nodes; the states of a roll-out are read once for a failure domain', async (t) => {
  const { reads, latestMs } = await runDomain({ loss: 0 });
  // One reader each half second, and now and then both.
  t.true(reads <= 1.5 * (LENGTH_MS / 500), `${reads} reads`);
  t.true(latestMs < KNOWN_MS, `${latestMs} ms`);
});

for (const loss of [0.025, 0.1]) {
  test(`pattern: lossy links; states of a roll-out are known in time at a loss of ${loss}`, async (t) => {
    const { reads, latestMs } = await runDomain({ loss });
    t.true(reads <= (NODES / 4) * (LENGTH_MS / 500), `${reads} reads`);
    t.true(latestMs < KNOWN_MS, `${latestMs} ms`);
  });
}

test('nodes read the states themselves when the log rejects the reads of both readers', async (t) => {
  const { latestMs } = await runDomain({ loss: 0, rejected: new Set([0, 1]) });
  t.true(latestMs < KNOWN_MS, `${latestMs} ms`);
});

// Guards against a read that takes a node back to the roll-out before the one that a feed has told it of.
test('a read that is older than a feed which came meanwhile changes nothing', async (t) => {
  const log = new MemoryKeyedLog();
  const key = Rollouts.keyOf('s');
  const append = (sequence: number): Promise<number> =>
    log.append({ topic: TOPIC, key, value: Buffer.from(JSON.stringify({ sequence })) });
  await append(9);
  const applied: unknown[] = [];
  const options = {
    rollouts: { isFollowing: true, applyState: (value: unknown) => applied.push(value) },
    clock: new ManualClock(),
    random: new SeededRandom(1),
    isReader: () => true,
  };
  const peer = new RolloutFollower({
    ...options,
    rollouts: { isFollowing: true, applyState: () => undefined },
    log,
    publishFeed: (feed) => {
      follower.applyFeed(feed);
    },
  });
  const follower: RolloutFollower = new RolloutFollower({
    ...options,
    log: {
      newest: async (topic) => {
        const older = await log.newest(topic);
        await append(1);
        await peer.update();
        return older;
      },
    },
    publishFeed: () => undefined,
  });
  await follower.update();
  t.deepEqual(applied, [{ sequence: 1 }]);
});
