import test from 'ava';
import { AdmissionGate, RequestOrder, TeamShares } from '@ragwortrudder/admission';
import type { OrderedRequest, ServiceOutlook } from '@ragwortrudder/admission';
import { ManualClock, SeededRandom } from '@ragwortrudder/core';
import { simulateGate } from './simulate-gate.ts';

const RUNNERS = 12;
const MS_PER_TOKEN = 0.014;
/** Own prompt tokens and the part of the shared ones that has to be computed. */
const LARGE_TOKENS = 6_610 + 0.2 * 5_382;
const SMALL_TOKENS = 1_800;
const SMALL_URGENT_MIX = [
  { priority: 0, perS: 349, targetMs: 500, limitMs: 3_000, promptTokens: SMALL_TOKENS },
  { priority: 1, perS: 90, targetMs: 2_000, limitMs: 15_000, promptTokens: LARGE_TOKENS },
] as const;
const LARGE_URGENT_MIX = [
  { priority: 0, perS: 69, targetMs: 1_000, limitMs: 12_000, promptTokens: LARGE_TOKENS },
  { priority: 1, perS: 393, targetMs: 1_000, limitMs: 3_000, promptTokens: SMALL_TOKENS },
] as const;
const MIXES = [
  ['349 small urgent and 90 large requests per second', SMALL_URGENT_MIX],
  ['69 large urgent and 393 small requests per second', LARGE_URGENT_MIX],
] as const;

interface Node {
  readonly clock: ManualClock;
  readonly gate: AdmissionGate;
}

interface Peering {
  readonly unheardFactor?: () => number;
  readonly isUninformed?: () => boolean;
}

function createNode({ unheardFactor = () => 1, isUninformed = () => false }: Peering = {}): Node {
  const clock = new ManualClock();
  const shares = new TeamShares();
  const order = new RequestOrder({
    clock,
    prefillMsPerToken: () => MS_PER_TOKEN,
    isOverShare: (team) => shares.isOverShare(team),
  });
  const random = new SeededRandom(2);
  const peers = (): ReturnType<ConstructorParameters<typeof AdmissionGate>[0]['peers']> => ({
    count: 0,
    periodMs: 100,
  });
  const gate = new AdmissionGate({ clock, random, order, unheardFactor, isUninformed, peers });
  gate.configure([
    { priority: 0, latencyTargetMs: 500 },
    { priority: 1, latencyTargetMs: 2_000 },
  ]);
  return { clock, gate };
}

function requestAt(clock: ManualClock, change: Partial<OrderedRequest> = {}): OrderedRequest {
  const arrivedAt = clock.monotonic();
  return {
    priority: 1,
    latencyTargetMs: 2_000,
    arrivedAt,
    deadlineAt: arrivedAt + 15_000,
    prefillTokens: 5_000,
    outputTokens: 100,
    team: undefined,
    ...change,
  };
}

const URGENT = { priority: 0, latencyTargetMs: 500, prefillTokens: SMALL_TOKENS };

function lookAt(waitMs: number, change: Partial<ServiceOutlook> = {}) {
  return (): ServiceOutlook => ({
    runners: 10,
    estimate: { waitMs, prefillMs: 70 },
    estimateAfter: () => ({ waitMs: waitMs + 70, prefillMs: 25 }),
    occupancy: () => ({ slots: 100, inFlight: 90, hasWaiting: true }),
    ...change,
  });
}

for (const [mix, classes] of MIXES) {
  // Guards against a less urgent class that takes the runners of a more urgent one, and against a gate
  // that keeps capacity unused.
  test(`load: ${mix}; the more urgent class keeps its target, the rest serves the other`, (t) => {
    const options = { classes, runners: RUNNERS, seed: 11 };
    const [urgent, later] = simulateGate({ ...options, hasGate: true });
    const [ungated, ungatedLater] = simulateGate({ ...options, hasGate: false });
    t.log(JSON.stringify({ urgent, later, ungated, ungatedLater }));
    if (!urgent || !later || !ungated) throw new TypeError('a class has no result');
    t.true(urgent.onTime >= 0.97 * urgent.offered);
    t.is(urgent.waited, 0);
    t.true(ungated.onTime < 0.5 * ungated.offered);
    const [first, second] = classes;
    const urgentMs = first.perS * first.promptTokens * MS_PER_TOKEN;
    const leftMs = RUNNERS * 1_000 - urgentMs;
    const share = leftMs / (second.perS * second.promptTokens * MS_PER_TOKEN);
    t.true(later.served >= 0.9 * share * later.offered, `${later.served} of ${later.offered}`);
    t.true(later.longestWaitMs <= second.targetMs / 8 + 10, `${later.longestWaitMs} ms`);
  });

  // Guards against nodes that all send to the runner that was idle in the last reports.
  test(`load at 10 nodes with reports every 100 ms: ${mix}; the more urgent class keeps its target`, (t) => {
    const options = { classes, runners: RUNNERS, seed: 12, nodes: 10 };
    const [urgent, later] = simulateGate({ ...options, hasGate: true });
    t.log(JSON.stringify({ urgent, later }));
    if (!urgent || !later) throw new TypeError('a class has no result');
    t.true(urgent.onTime >= 0.95 * urgent.offered);
    const servedShare = later.served / later.offered;
    t.true(servedShare > 0.25 && servedShare <= urgent.served / urgent.offered + 0.05);
  });

  // Guards against a gate that refuses what the runners could serve without harm to the urgent class.
  test(`load at 10 nodes just below the capacity: ${mix}; nearly nothing is refused`, (t) => {
    const options = { classes, runners: 19, seed: 4, nodes: 10 };
    for (const { offered, served, onTime } of simulateGate({ ...options, hasGate: true })) {
      t.true(served >= 0.99 * offered, `${served} of ${offered}`);
      t.true(onTime >= 0.97 * offered, `${onTime} of ${offered} on time`);
    }
  });

  // Guards against a gate that delays or refuses requests of a service that is not overloaded.
  test(`load: ${mix} at enough runners; nothing waits or is refused`, (t) => {
    const options = { classes, runners: 3 * RUNNERS, seed: 11 };
    for (const { offered, served, waited } of simulateGate({ ...options, hasGate: true })) {
      t.is(waited, 0);
      t.is(served, offered);
    }
  });
}

// Guards against waits beyond an eighth of the target, and against refusals with one Retry-After for all.
test('a request waits for an eighth of its target and is then refused with a randomized delay', (t) => {
  const { clock, gate } = createNode();
  t.is(gate.offer(requestAt(clock, URGENT), lookAt(900)).kind, 'admit');
  const requests = [0, 1, 2].map(() => requestAt(clock));
  for (const request of requests) t.is(gate.offer(request, lookAt(900)).kind, 'wait');
  clock.advance(249);
  t.deepEqual(gate.review(), []);
  clock.advance(1);
  const reviewed = gate.review();
  t.is(reviewed.length, 3);
  const delays = reviewed.map(({ decision }) =>
    decision.kind === 'refuse' ? decision.retryAfterMs : 0,
  );
  t.is(new Set(delays).size, 3);
  t.true(delays.every((ms) => ms > 0 && ms <= 15_000 / 3));
  t.is(gate.size, 0);
});

// Guards against a request that waits although it could only miss its target afterwards.
test('a request that would miss its target is refused without a wait, also by its deadline', (t) => {
  const { clock, gate } = createNode();
  gate.offer(requestAt(clock, URGENT), lookAt(900));
  const late = gate.offer(requestAt(clock), lookAt(3_000));
  t.like(late, { kind: 'refuse', reason: 'target-of-more-urgent' });
  const hopeless = gate.offer(requestAt(clock, { deadlineAt: 800 }), lookAt(900));
  t.like(hopeless, { kind: 'refuse', reason: 'deadline' });
});

// Guards against refusals while runners are free, or for a class that sends nothing or cannot be helped.
test('nothing is held while runners have room, or without a more urgent class that it would delay', (t) => {
  const { clock, gate } = createNode();
  t.is(gate.offer(requestAt(clock), lookAt(900)).kind, 'admit');
  gate.offer(requestAt(clock, URGENT), lookAt(900));
  const occupancy = (): ReturnType<ServiceOutlook['occupancy']> => ({
    slots: 100,
    inFlight: 49,
    hasWaiting: false,
  });
  const estimateAfter = (): ServiceOutlook['estimate'] => ({ waitMs: 900, prefillMs: 25 });
  t.is(gate.offer(requestAt(clock), lookAt(240, { occupancy, estimateAfter })).kind, 'admit');
  const slow = (): ServiceOutlook['estimate'] => ({ waitMs: 900, prefillMs: 450 });
  t.is(gate.offer(requestAt(clock), lookAt(900, { estimateAfter: slow })).kind, 'admit');
  t.is(gate.offer(requestAt(clock), () => undefined).kind, 'admit');
  t.is(gate.offer(requestAt(clock), lookAt(900)).kind, 'wait');
  clock.advance(30_001);
  t.is(gate.offer(requestAt(clock), lookAt(900)).kind, 'admit');
});

// Guards against an effect on services without priorities.
test('a service whose classes have one priority is not affected', (t) => {
  const { clock, gate } = createNode();
  gate.configure([
    { priority: 1, latencyTargetMs: 500 },
    { priority: 1, latencyTargetMs: 2_000 },
  ]);
  gate.offer(requestAt(clock, { latencyTargetMs: 500 }), lookAt(9_000));
  t.is(gate.offer(requestAt(clock), lookAt(9_000)).kind, 'admit');
});

// Guards against requests that overtake others in the queue, and against a queue without a bound.
test('waiting requests are admitted in the order, and the last one gives way in a full queue', (t) => {
  const { clock, gate } = createNode();
  let waitMs = 900;
  const look = (): ServiceOutlook => lookAt(waitMs)();
  gate.offer(requestAt(clock, URGENT), look);
  const small = requestAt(clock, { prefillTokens: 1 });
  const queued = Array.from({ length: 256 }, () => requestAt(clock, { prefillTokens: 6_000 }));
  for (const request of queued) t.is(gate.offer(request, look).kind, 'wait');
  t.like(gate.offer(requestAt(clock, { prefillTokens: 9_000 }), look), { reason: 'displaced' });
  t.is(gate.offer(small, look).kind, 'wait');
  const [displaced] = gate.review();
  t.like(displaced?.decision, { kind: 'refuse', reason: 'displaced' });
  waitMs = 100;
  t.is(gate.offer(requestAt(clock, { prefillTokens: 9_000 }), look).kind, 'refuse');
  t.is(gate.review()[0]?.request, small);
  const [next] = queued;
  if (!next) throw new TypeError('nothing was queued');
  t.true(gate.cancel(next));
  t.false(gate.cancel(next));
  t.is(gate.review()[0]?.request, queued[1]);
  t.is(gate.refuseAll().length, 253);
  t.is(gate.size, 0);
});

// Guards against a node cut off from its peers that fills the runners with what only it knows of.
test('failure: a node that hears no peers keeps to its share of the runners', (t) => {
  let factor = 1;
  const { clock, gate } = createNode({ unheardFactor: () => factor });
  gate.offer(requestAt(clock, URGENT), lookAt(90));
  t.is(gate.offer(requestAt(clock), lookAt(90)).kind, 'admit');
  factor = 10;
  t.is(gate.offer(requestAt(clock), lookAt(90)).kind, 'wait');
  t.is(gate.offer(requestAt(clock, URGENT), lookAt(90)).kind, 'admit');
  t.is(gate.offer(requestAt(clock), lookAt(0)).kind, 'admit');
});

// Guards against a started node that sends less urgent requests to a service of which it knows nothing.
test('failure: a node that has just started waits for the first reports, and never refuses for lack of them', (t) => {
  let isUninformed = true;
  const { clock, gate } = createNode({ isUninformed: () => isUninformed });
  t.is(gate.offer(requestAt(clock, URGENT), lookAt(0)).kind, 'admit');
  const first = requestAt(clock);
  t.is(gate.offer(first, lookAt(0)).kind, 'wait');
  clock.advance(250);
  t.like(gate.review()[0], { request: first, decision: { kind: 'admit' } });
  const second = requestAt(clock);
  t.is(gate.offer(second, lookAt(0)).kind, 'wait');
  isUninformed = false;
  t.like(gate.review()[0], { request: second, decision: { kind: 'admit' } });
});
