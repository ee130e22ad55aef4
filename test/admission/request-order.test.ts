import test from 'ava';
import { RequestOrder, spreadRetryMs, TeamShares } from '@ragwortrudder/admission';
import type { OrderedRequest } from '@ragwortrudder/admission';
import { ManualClock, SeededRandom } from '@ragwortrudder/core';

const MS_PER_TOKEN = 0.014;
/** Urgent and small (349 per second), less urgent and large (90 per second). */
const SMALL_URGENT = requestOf({
  priority: 0,
  latencyTargetMs: 500,
  deadlineAt: 3_000,
  prefillTokens: 1_800,
});
const LARGE_LATER = requestOf({
  priority: 1,
  latencyTargetMs: 2_000,
  deadlineAt: 15_000,
  prefillTokens: 11_992,
});
/** Urgent and large (69 per second), less urgent and small (393 per second). */
const LARGE_URGENT = requestOf({
  priority: 0,
  latencyTargetMs: 1_000,
  deadlineAt: 12_000,
  prefillTokens: 11_992,
});
const SMALL_LATER = requestOf({
  priority: 1,
  latencyTargetMs: 1_000,
  deadlineAt: 3_000,
  prefillTokens: 1_800,
});

function requestOf(change: Partial<OrderedRequest>): OrderedRequest {
  return {
    priority: 0,
    latencyTargetMs: 1_000,
    arrivedAt: 0,
    deadlineAt: 10_000,
    prefillTokens: 1_000,
    outputTokens: 100,
    team: undefined,
    ...change,
  };
}

function createOrder(clock: ManualClock, shares = new TeamShares()): RequestOrder {
  return new RequestOrder({
    clock,
    prefillMsPerToken: () => MS_PER_TOKEN,
    isOverShare: (team) => shares.isOverShare(team),
  });
}

// Guards against an order by size or by deadline alone, which is wrong for one of the measured mixes.
for (const [mix, urgent, later] of [
  ['349 small urgent and 90 large requests per second', SMALL_URGENT, LARGE_LATER],
  ['69 large urgent and 393 small requests per second', LARGE_URGENT, SMALL_LATER],
] as const) {
  test(`the more urgent class precedes the less urgent one: ${mix}`, (t) => {
    const order = createOrder(new ManualClock());
    t.true(order.compare(urgent, later) < 0);
    t.true(order.compare(later, urgent) > 0);
    t.true(order.enginePriorityOf(urgent) < order.enginePriorityOf(later));
    for (const delayMs of [urgent.latencyTargetMs, 2_900, 20_000]) {
      t.true(order.costOfDelay(urgent, delayMs) > order.costOfDelay(later, 20_000), `${delayMs}`);
    }
  });
}

// Guards against serving a request that is already late before one that can still be on time.
test('a request that can still meet its target precedes one of its priority that cannot', (t) => {
  const clock = new ManualClock();
  const order = createOrder(clock);
  const late = requestOf({ priority: 1, latencyTargetMs: 300 });
  const onTime = requestOf({ priority: 1, arrivedAt: 400 });
  const lessUrgent = requestOf({ priority: 2, arrivedAt: 400 });
  clock.advance(400);
  t.true(order.compare(onTime, late) < 0);
  t.true(order.compare(late, lessUrgent) < 0);
  t.deepEqual(
    [onTime, late, lessUrgent].map((request) => order.enginePriorityOf(request)),
    [3, 4, 5],
  );
});

// Guards against engine priorities outside of 0 to 9, which engines reject.
test('engine priorities are whole numbers from 0 to 9', (t) => {
  const order = createOrder(new ManualClock());
  const priorities = [0, 1, 4, 5, 1e9, -3, NaN].map((priority) =>
    order.enginePriorityOf(requestOf({ priority })),
  );
  t.deepEqual(priorities, [1, 3, 9, 9, 9, 0, 9]);
});

// Guards against a team with many requests starving the small ones of its priority.
test('within a priority, a team above its share follows one below it', (t) => {
  const shares = new TeamShares();
  for (let count = 0; count < 9; count += 1) shares.add('large');
  shares.add('small');
  const order = createOrder(new ManualClock(), shares);
  const early = requestOf({ team: 'large', latencyTargetMs: 500 });
  const late = requestOf({ team: 'small', latencyTargetMs: 900 });
  t.true(order.compare(late, early) < 0);
  for (let count = 0; count < 9; count += 1) shares.remove('large');
  t.true(order.compare(early, late) < 0);
});

// Guards against an order whose result depends on the order of the comparisons.
test('the comparison is transitive and antisymmetric', (t) => {
  const random = new SeededRandom(5);
  const clock = new ManualClock();
  clock.advance(1_000);
  const shares = new TeamShares();
  for (const team of ['a', 'a', 'a', 'b']) shares.add(team);
  const order = createOrder(clock, shares);
  const pick = (count: number): number => Math.floor(random.next() * count);
  const requests = Array.from({ length: 40 }, () =>
    requestOf({
      priority: pick(3),
      arrivedAt: pick(1_000),
      latencyTargetMs: pick(3) * 400,
      prefillTokens: pick(4) * 5_000,
      team: ['a', 'b'][pick(2)],
    }),
  );
  const sorted = requests.toSorted((a, b) => order.compare(a, b));
  for (const [index, a] of sorted.entries()) {
    for (const b of sorted.slice(index)) {
      t.true(order.compare(a, b) <= 0);
      t.true(order.compare(b, a) >= 0);
    }
  }
});

// Guards against rejected callers that all return at the same time, or too late to be served.
test('retry delays differ and take at most a third of the remaining time', (t) => {
  const random = new SeededRandom(3);
  for (const [expectedMs, remainingMs] of [
    [400, 5_000],
    [400, 600],
    [9_000, 3_000],
    [0, 30],
  ] as const) {
    const delays = Array.from({ length: 200 }, () =>
      spreadRetryMs({ expectedMs, remainingMs, random }),
    );
    t.true(new Set(delays).size > 100);
    t.true(Math.max(...delays) <= remainingMs / 3);
    t.true(Math.min(...delays) > 0);
  }
});
