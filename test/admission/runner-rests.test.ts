import test from 'ava';
import { RunnerRests } from '@ragwortrudder/admission';
import { ManualClock, SeededRandom } from '@ragwortrudder/core';

const NODES = 6;
/** Requests in progress from one node, by response time: half as many again with each that was taken. */
const MOST_PER_NODE = [1, 1, 2, 5] as const;
const RESPONSE_MS = 120;
const REST_MS = 4_000;
/** Time between two requests of a node: without a limit all of them would go to the runner. */
const PERIOD_MS = 5;
/** Time within which the runner has asked all nodes. */
const ASKING_MS = 200;

test('a longer rest replaces a shorter one, never the reverse', (t) => {
  const clock = new ManualClock();
  const rests = new RunnerRests(clock);
  t.true(rests.record('r 1', 1_000));
  t.false(rests.record('r 1', 3_000));
  rests.record('r 1', 500);
  t.is(rests.remainingMs('r 1'), 3_000);
  clock.advance(2_900);
  t.false(rests.mayTake('r 1', 0));
  t.true(rests.mayTake('r 2', 0), 'another boot');
  rests.prune(new Set());
  t.is(rests.remainingMs('r 1'), 100, 'a rest outlives a list without its runner');
});

test('after a rest a runner gets one request at first and more with each that it takes', (t) => {
  const clock = new ManualClock();
  const rests = new RunnerRests(clock);
  rests.record('r 1', 1_000);
  rests.recordTaken('r 1');
  clock.advance(1_000);
  t.true(rests.mayTake('r 1', 0));
  t.false(rests.mayTake('r 1', 1));
  let taken = 0;
  while (!rests.isEmpty) {
    rests.recordTaken('r 1');
    taken += 1;
  }
  t.true(taken > 5 && taken < 20, `${taken} requests until it has its usual share`);
  t.true(rests.record('r 1', 1_000), 'it may rest again');
  t.false(rests.mayTake('r 1', 0));
});

test('a rest of no time is none', (t) => {
  const rests = new RunnerRests(new ManualClock());
  for (const forMs of [0, -3_000]) t.false(rests.record('r 1', forMs));
  t.true(rests.isEmpty);
});

// Guards against a herd of requests from all nodes at the moment at which a rest ends.
test('after a rest that all nodes were asked for, their requests return gradually', (t) => {
  for (let seed = 1; seed <= 50; seed += 1) {
    const arrivals = simulateReturn(seed);
    const perResponse = MOST_PER_NODE.map((_most, index) => {
      const from = index * RESPONSE_MS;
      return arrivals.filter((at) => at >= from && at < from + RESPONSE_MS).length;
    });
    for (const [index, count] of perResponse.entries()) {
      const mostPerNode = MOST_PER_NODE[index] ?? 0;
      t.true(count <= NODES * mostPerNode, `seed ${seed}: ${perResponse.join()}`);
    }
    t.true((perResponse[0] ?? 0) > 0, `seed ${seed}`);
  }
});

/** Times, from the first one on, at which requests reach a runner whose rest has ended. */
function simulateReturn(seed: number): readonly number[] {
  const random = new SeededRandom(seed);
  const clock = new ManualClock();
  const nodes = Array.from({ length: NODES }, () => ({
    rests: new RunnerRests(clock),
    askedAt: Math.floor(random.next() * ASKING_MS),
    sentAt: [] as number[],
  }));
  const arrivals: number[] = [];
  for (let now = 0; now < ASKING_MS + REST_MS + 6 * RESPONSE_MS; now += 1) {
    for (const node of nodes) {
      if (now === node.askedAt) node.rests.record('r 1', REST_MS);
      if (now <= node.askedAt) continue;
      const taken = node.sentAt.filter((at) => now - at >= RESPONSE_MS).length;
      node.sentAt = node.sentAt.filter((at) => now - at < RESPONSE_MS);
      for (let count = 0; count < taken; count += 1) node.rests.recordTaken('r 1');
      if (now % PERIOD_MS !== 0 || !node.rests.mayTake('r 1', node.sentAt.length)) continue;
      node.sentAt.push(now);
      arrivals.push(now);
    }
    clock.advance(1);
  }
  const [first = 0] = arrivals;
  return arrivals.map((at) => at - first);
}
