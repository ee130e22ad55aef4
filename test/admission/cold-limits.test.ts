import test from 'ava';
import { SharingNodes, StatedLimits, coldShare } from '@ragwortrudder/admission';
import { ManualClock, SeededRandom } from '@ragwortrudder/core';
import { rendezvousOrder } from '@ragwortrudder/routing';

const RUNNER = 'r 1';
const SERVICE = 's';
const STEP_MS = 10;
const REPORT_PERIOD_MS = 200;
const LOSS = 0.02;
const PEER_TIMEOUT_MS = 1_000;
const PEER_EXPIRY_MS = 15_000;
const SETTLED_MS = 2_000;
/** Longest time by which a request arrives later than another one that was sent with it. */
const MAX_DELAY_MS = 30;

interface Bound {
  readonly overage: number;
  readonly slack: number;
}

interface Fleet {
  readonly seed: number;
  readonly nodes: number;
  readonly coldPerS: number;
  readonly bound: Bound;
  readonly lengthMs?: number;
  /** Number of nodes that start, and when. */
  readonly join?: readonly [number, number];
  /** Number of nodes that end without a word, and when. */
  readonly die?: readonly [number, number];
  /** Number of groups that do not hear each other, and from when until when. */
  readonly split?: readonly [number, number, number];
}

interface SimulatedNode {
  readonly limits: StatedLimits;
  readonly sharing: SharingNodes;
  readonly startedAt: number;
  readonly group: number;
  /** When each peer was last heard, or was found in the topic of nodes. */
  readonly heardAt: ReadonlyMap<string, number>;
  readonly addedAt: ReadonlyMap<string, number>;
}

/** Plays nodes that send as much as they may to a runner that stays cold; returns the arrivals. */
function simulate(fleet: Fleet): readonly number[] {
  const { seed, coldPerS, bound, lengthMs = 30_000, join, die, split } = fleet;
  const random = new SeededRandom(seed);
  const clock = new ManualClock();
  const nodes = new Map<string, SimulatedNode>();
  const start = (id: string, startedAt: number): void => {
    const rank = (runner: string, all: readonly string[]): readonly string[] =>
      rendezvousOrder(runner, all, (item) => item);
    const limits = new StatedLimits({ clock, node: id, rank });
    limits.cold.setServices([{ name: SERVICE, coldPerS, warmupMs: 600_000 }]);
    limits.cold.recordEntry(RUNNER, SERVICE, 600_000);
    const addedAt = new Map([...nodes.keys()].map((peer) => [peer, clock.monotonic()]));
    nodes.set(id, {
      limits,
      sharing: new SharingNodes(clock),
      startedAt,
      group: nodes.size % (split?.[0] ?? 1),
      heardAt: new Map(),
      addedAt,
    });
  };
  for (let index = 0; index < fleet.nodes; index += 1) start(`n${index}`, -SETTLED_MS);
  const isCut = (a: SimulatedNode, b: SimulatedNode): boolean =>
    split !== undefined &&
    a.group !== b.group &&
    clock.monotonic() >= split[1] &&
    clock.monotonic() < split[2];
  const arrivals: number[] = [];
  let wasHeard = false;
  while (clock.monotonic() < lengthMs) {
    clock.advance(STEP_MS);
    const now = clock.monotonic();
    if (join?.[1] === now) {
      for (let index = 0; index < join[0]; index += 1) start(`j${index}`, now);
    }
    if (die?.[1] === now) {
      for (let index = 0; index < die[0]; index += 1) nodes.delete(`n${index}`);
    }
    if (now % REPORT_PERIOD_MS === 0) {
      for (const [from, sender] of nodes) {
        for (const [to, receiver] of [...nodes]) {
          const isLost = wasHeard && random.next() < LOSS;
          if (from === to || isCut(sender, receiver) || isLost) continue;
          nodes.set(to, { ...receiver, heardAt: new Map([...receiver.heardAt, [from, now]]) });
        }
      }
      wasHeard = true;
      for (const [id, node] of nodes) {
        const seen = new Map([...node.addedAt, ...node.heardAt]);
        const known = [...seen].filter(([, at]) => now - at < PEER_EXPIRY_MS).map(([peer]) => peer);
        const reachable = [...node.heardAt]
          .filter(([, at]) => now - at < PEER_TIMEOUT_MS)
          .map(([peer]) => peer);
        node.sharing.update({
          reachable: [id, ...reachable],
          known: [id, ...known],
          isRegistered: true,
        });
        const isSettled = now - node.startedAt >= SETTLED_MS && node.sharing.hasHeardMost;
        node.limits.setColdSharing({ nodes: node.sharing.ids, isSettled, bound });
      }
    }
    for (const { limits } of nodes.values()) {
      if (!limits.mayTake(RUNNER)) continue;
      limits.take(RUNNER);
      arrivals.push(now + random.next() * MAX_DELAY_MS);
    }
  }
  return arrivals.toSorted((a, b) => a - b);
}

function mostInSecond(arrivals: readonly number[]): number {
  let most = 0;
  let first = 0;
  for (const [index, at] of arrivals.entries()) {
    while ((arrivals[first] ?? at) <= at - 1_000) first += 1;
    most = Math.max(most, index - first + 1);
  }
  return most;
}

const PLATFORM_BOUND: Bound = { overage: 1.5, slack: 5 };
const STRICT_BOUND: Bound = { overage: 1, slack: 0 };
const LIMITS = [1, 2, 4, 7.5, 40];

// Guards against more requests than a cold runner bears, with any number of nodes (crash of the runner).
test('pattern: any limit, bound and number of nodes; the requests of a second stay within the bound', (t) => {
  for (const bound of [PLATFORM_BOUND, STRICT_BOUND, { overage: 1.2, slack: 1 }]) {
    for (const nodes of [1, 3, 9, 60]) {
      for (const coldPerS of LIMITS) {
        const arrivals = simulate({ seed: nodes, nodes, coldPerS, bound, lengthMs: 12_000 });
        const most = mostInSecond(arrivals);
        const name = `${nodes} nodes, ${coldPerS} a second, overage ${bound.overage}: ${most}`;
        t.true(most <= coldPerS * bound.overage + bound.slack, name);
        t.true(arrivals.length > 0.5 * coldPerS * 10, `${name}; ${arrivals.length} in 12 s`);
      }
    }
  }
});

// Guards against both sides of a partition taking the whole limit, also after the peers were forgotten.
test('nodes that are partitioned, for a short time or a long one, stay within the bound together', (t) => {
  for (const bound of [PLATFORM_BOUND, STRICT_BOUND]) {
    for (const nodes of [3, 9, 60]) {
      for (const groups of [2, nodes]) {
        const split = [groups, 4_000, 24_000] as const;
        const arrivals = simulate({ seed: 2, nodes, coldPerS: 4, bound, split });
        const most = mostInSecond(arrivals);
        t.true(most <= 4 * bound.overage + bound.slack, `${nodes} in ${groups}: ${most}`);
      }
    }
  }
});

// Guards against a node that has just started and takes itself for the only one.
test('nodes that start or end during operation do not take the others over the bound', (t) => {
  for (const bound of [PLATFORM_BOUND, STRICT_BOUND]) {
    for (const nodes of [1, 3, 9, 30]) {
      for (const joining of [1, 3, 30]) {
        const join = [joining, 5_000] as const;
        const die = [Math.floor(nodes / 3), 9_000] as const;
        const arrivals = simulate({ seed: 3, nodes, coldPerS: 4, bound, join, die });
        const most = mostInSecond(arrivals);
        const name = `${nodes} nodes, ${joining} start: ${most}`;
        t.true(most <= 4 * bound.overage + bound.slack, name);
      }
    }
  }
});

// Guards against nodes on one side of a partition that do not know of a node on the other side.
test('nodes that start during a partition do not take the others over the bound', (t) => {
  for (const nodes of [3, 9, 30]) {
    for (const groups of [2, 3]) {
      const arrivals = simulate({
        ...{ seed: 5, nodes, coldPerS: 4, bound: PLATFORM_BOUND },
        join: [3, 6_000],
        split: [groups, 4_000, 24_000],
      });
      const most = mostInSecond(arrivals);
      t.true(most <= 11, `${nodes} nodes in ${groups} groups: ${most}`);
    }
  }
});

test('a node that hears less than half of the others has no share until it has heard them', (t) => {
  const sharing = new SharingNodes(new ManualClock());
  sharing.update({ reachable: ['a'], known: ['a'], isRegistered: false });
  t.false(sharing.hasHeardMost);
  sharing.update({ reachable: ['a'], known: ['a', 'b'], isRegistered: true });
  t.false(sharing.hasHeardMost);
  sharing.update({ reachable: ['a', 'b'], known: ['a', 'b'], isRegistered: true });
  sharing.update({ reachable: ['a'], known: ['a', 'b'], isRegistered: true });
  t.true(sharing.hasHeardMost);
});

test('a bound below one request in a second lets none pass', (t) => {
  t.deepEqual(coldShare({ perSecond: 0.5, bound: STRICT_BOUND, nodes: 3 }), {
    sharers: 0,
    perSecond: 0,
  });
});

test('a node that leaves gives up its share at once, one that disappears keeps it for a time', (t) => {
  const clock = new ManualClock();
  const sharing = new SharingNodes(clock);
  const isRegistered = true;
  sharing.update({ reachable: ['a', 'b'], known: ['a', 'b', 'c'], isRegistered });
  sharing.update({ reachable: ['a'], known: ['a'], isRegistered });
  t.deepEqual(sharing.ids, ['a', 'c']);
  clock.advance(300_000);
  sharing.update({ reachable: ['a'], known: ['a'], isRegistered });
  t.deepEqual(sharing.ids, ['a']);
});

function createLimits(clock: ManualClock, coldPerS = 4): StatedLimits {
  const limits = new StatedLimits({ clock, node: 'n1', rank: (_runner, nodes) => nodes });
  limits.cold.setServices([{ name: SERVICE, coldPerS, warmupMs: 5_000 }]);
  limits.setColdSharing({ nodes: ['n1'], isSettled: true, bound: PLATFORM_BOUND });
  return limits;
}

test('a cold limit starts with an empty bucket, and a warm runner gets its full share at once', (t) => {
  const clock = new ManualClock();
  const limits = createLimits(clock);
  limits.cold.recordEntry(RUNNER, SERVICE, 2_000);
  t.false(limits.mayTake(RUNNER));
  clock.advance(250);
  t.true(limits.mayTake(RUNNER));
  limits.take(RUNNER);
  t.false(limits.mayTake(RUNNER));
  t.is(Math.round(limits.waitMs(RUNNER)), 250);
  clock.advance(1_750);
  for (let sent = 0; sent < 50; sent += 1) {
    t.true(limits.mayTake(RUNNER));
    limits.take(RUNNER);
  }
  limits.cold.recordEntry(RUNNER, SERVICE, 1_000);
  t.false(limits.mayTake(RUNNER), 'cold again');
});

test('the smaller one of a stated limit and a cold limit is in force', (t) => {
  const clock = new ManualClock();
  const limits = createLimits(clock);
  limits.cold.recordEntry(RUNNER, SERVICE, 60_000);
  limits.record(RUNNER, 1);
  t.false(limits.mayTake(RUNNER));
  clock.advance(900);
  t.false(limits.mayTake(RUNNER));
  clock.advance(100);
  t.true(limits.mayTake(RUNNER));
});

test('the newest statement of an incarnation holds, and the configuration bounds it', (t) => {
  const clock = new ManualClock();
  const { cold } = createLimits(clock);
  cold.recordEntry(RUNNER, SERVICE, 86_400_000);
  t.is(cold.remainingMs(RUNNER), 10_000, 'twice the usual time');
  clock.advance(1_000);
  t.is(cold.remainingMs(RUNNER), 9_000);
  cold.record(RUNNER, undefined);
  t.is(cold.remainingMs(RUNNER), 9_000, 'no statement');
  cold.recordEntry(RUNNER, SERVICE, 0);
  t.is(cold.remainingMs(RUNNER), 0);
  clock.advance(10);
  cold.record(RUNNER, 3_000);
  t.is(cold.remainingMs(RUNNER), 3_000, 'cold again');
  cold.setPeerStatements([{ runner: RUNNER, coldMs: 0, ageMs: 100 }]);
  t.is(cold.remainingMs(RUNNER), 3_000, 'an older statement of a peer');
  clock.advance(100);
  cold.setPeerStatements([{ runner: RUNNER, coldMs: 0, ageMs: 20 }]);
  t.is(cold.remainingMs(RUNNER), 0);
  t.is(cold.remainingMs('r 2'), 0, 'another boot');
});

// Guards against an entry that was written before a runner became cold again and is read afterwards.
test('an entry that is read shortly after a response does not end the period that the response states', (t) => {
  const clock = new ManualClock();
  const { cold } = createLimits(clock);
  cold.recordEntry(RUNNER, SERVICE, 0);
  clock.advance(10);
  cold.record(RUNNER, 5_000);
  clock.advance(700);
  cold.recordEntry(RUNNER, SERVICE, 0);
  t.is(cold.remainingMs(RUNNER), 4_300);
  clock.advance(1_200);
  cold.recordEntry(RUNNER, SERVICE, 0);
  t.is(cold.remainingMs(RUNNER), 0, 'a later renewal ends it');
  cold.recordEntry(RUNNER, SERVICE, 6_000);
  t.is(cold.remainingMs(RUNNER), 6_000, 'a larger value restarts it');
  clock.advance(10);
  cold.record(RUNNER, 0);
  t.is(cold.remainingMs(RUNNER), 0, 'a response ends it');
});

test('peers hear what a runner stated, for as long as it matters', (t) => {
  const clock = new ManualClock();
  const [sender, receiver] = [createLimits(clock).cold, createLimits(clock).cold];
  for (const cold of [sender, receiver]) cold.recordEntry(RUNNER, SERVICE, 0);
  clock.advance(10);
  sender.record(RUNNER, 4_000);
  clock.advance(200);
  receiver.setPeerStatements(sender.own);
  t.is(receiver.remainingMs(RUNNER), 3_800);
  t.is(receiver.ofDomain.length, 1);
  clock.advance(10_000);
  sender.retain(new Set([RUNNER]));
  t.deepEqual(sender.own, []);
});

test('without a limit in the configuration nothing is limited or reported', (t) => {
  const limits = createLimits(new ManualClock(), 0);
  limits.cold.recordEntry(RUNNER, SERVICE, 5_000);
  limits.cold.record(RUNNER, 5_000);
  t.true(limits.isEmpty);
  t.true(limits.mayTake(RUNNER));
  t.deepEqual(limits.cold.own, []);
  t.deepEqual(limits.cold.takeChanges(), []);
});
