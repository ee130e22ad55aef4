import test from 'ava';
import { FollowedDigests } from '../../packages/gateway/src/utils/followed-digests.ts';

const TIMING = { relayTimeoutMs: 1_500, baselineTtlMs: 4_000 };

function digestOf(relay: string, at: number, incarnation = 1) {
  return { relay, incarnation, at };
}

function createDigests(): FollowedDigests<ReturnType<typeof digestOf>> {
  return new FollowedDigests(() => TIMING);
}

test('totals of the followed relay count from its previous digest on', (t) => {
  const digests = createDigests();
  t.is(digests.record('a', digestOf('n1', 0)), undefined);
  t.is(digests.record('a', digestOf('n1', 200))?.at, 0);
  t.is(digests.lastAt('a'), 200);
  t.is(digests.record('a', digestOf('n2', 300)), undefined);
  t.is(digests.lastAt('a'), 200);
  t.is(digests.record('a', digestOf('n1', 400))?.at, 200);
});

test('a relay that takes over counts from what it had sent by the last digest of the one before', (t) => {
  const digests = createDigests();
  for (const at of [0, 200, 400]) {
    digests.record('a', digestOf('n1', at));
    digests.record('a', digestOf('n2', at + 100));
  }
  for (let at = 700; at < 1_900; at += 200) {
    t.is(digests.record('a', digestOf('n2', at)), undefined);
  }
  const baseline = digests.record('a', digestOf('n2', 1_900));
  t.deepEqual([baseline?.relay, baseline?.at], ['n2', 300]);
  t.is(digests.record('a', digestOf('n2', 2_100))?.at, 1_900);
});

test('a relay that was followed before counts from its last digest on', (t) => {
  const digests = createDigests();
  digests.record('a', digestOf('n1', 0));
  digests.record('a', digestOf('n2', 1_600));
  t.is(digests.record('a', digestOf('n1', 3_200))?.at, 0);
});

test('totals before a gap that indicates a partition, or of an earlier incarnation, do not count', (t) => {
  const digests = createDigests();
  digests.record('a', digestOf('n1', 0));
  t.is(digests.record('a', digestOf('n1', 4_000)), undefined);
  t.is(digests.record('a', digestOf('n1', 5_500, 2)), undefined);
  t.is(digests.record('b', digestOf('n1', 5_600, 2)), undefined);
});
