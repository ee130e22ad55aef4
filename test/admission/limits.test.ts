import test from 'ava';
import fc from 'fast-check';
import { ConcurrencyLimit, HedgeDelay, RetryBudget } from '@ragwortrudder/admission';
import { decideHedge, decideRetry, parseRetriesLeft } from '@ragwortrudder/admission';
import type { RetryBudgetKey, RetryRequest } from '@ragwortrudder/admission';
import { SeededRandom } from '@ragwortrudder/core';

const KEY: RetryBudgetKey = { endpoint: '10.0.0.1:80', class: 'interactive' };
const BASE_MS = 20;
const SLOTS = 16;

/**
 * Runs a closed loop against an endpoint with `SLOTS` slots; returns the limit after each round.
 */
function runClosedLoop(limit: ConcurrencyLimit, rounds: number, startMs = 0): readonly number[] {
  const limits: number[] = [];
  let now = startMs;
  for (let round = 0; round < rounds; round += 1) {
    let admitted = 0;
    while (limit.tryAcquire()) admitted += 1;
    const latencyMs = BASE_MS * Math.max(1, admitted / SLOTS);
    now += latencyMs;
    for (let i = 0; i < admitted; i += 1) limit.release({ outcome: 'ok', latencyMs }, now);
    limits.push(limit.limit);
  }
  return limits;
}

test('the limit converges near the capacity of the endpoint and stays within its bounds', (t) => {
  const limits = runClosedLoop(new ConcurrencyLimit({ ceiling: 200 }), 2000);
  const settled = limits.slice(1000);
  t.true(Math.min(...settled) >= SLOTS / 2);
  t.true(Math.max(...settled) <= SLOTS * 3);
  t.log({ least: Math.min(...settled), most: Math.max(...settled) });
});

test('overload lowers the limit once per round trip, never below the floor', (t) => {
  const limit = new ConcurrencyLimit({ initial: 100, floor: 4 });
  for (let i = 0; i < 50; i += 1) limit.tryAcquire();
  for (let i = 0; i < 50; i += 1) limit.release({ outcome: 'overloaded', latencyMs: 100 }, 0);
  t.is(limit.limit, 70);
  for (let now = 0; now < 10_000; now += 200) {
    limit.tryAcquire();
    limit.release({ outcome: 'overloaded', latencyMs: 100 }, now);
  }
  t.is(limit.limit, 4);
});

test('after recovery the limit starts low and grows again', (t) => {
  const limit = new ConcurrencyLimit({ initial: 4, ceiling: 64 });
  runClosedLoop(limit, 300);
  limit.resetAfterEjection();
  t.true(limit.limit <= 4);
  runClosedLoop(limit, 300, 1e6);
  t.true(limit.limit >= SLOTS / 2);
});

test('retries stay within the ratio to first attempts, plus the floor and the initial token', (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.record({ tries: fc.nat(20), retries: fc.nat(20), waitMs: fc.nat(1000) })),
      (steps) => {
        const budget = new RetryBudget({ ratio: 0.1, floorPerSecond: 0.2, burst: 10 });
        let now = 0;
        let tries = 0;
        let spent = 0;
        for (const { tries: more, retries, waitMs } of steps) {
          now += waitMs;
          for (let i = 0; i < more; i += 1) budget.recordFirstAttempt(KEY, now);
          for (let i = 0; i < retries; i += 1) if (budget.trySpend(KEY, now)) spent += 1;
          tries += more;
        }
        return spent <= 1 + 0.1 * tries + (0.2 * now) / 1000 + 1e-6;
      },
    ),
    { seed: 5, numRuns: 300 },
  );
  t.pass();
});

test('a retry needs retries left, proof that a non-idempotent request did not run, and time', (t) => {
  const request: RetryRequest = {
    key: KEY,
    retriesLeft: 2,
    idempotent: true,
    notRun: false,
    deadlineAt: 10_000,
    attempts: 1,
  };
  const decide = (fields: Partial<RetryRequest>, budget = new RetryBudget()) =>
    decideRetry({
      request: { ...request, ...fields },
      budget,
      random: new SeededRandom(2),
      now: 0,
    });
  t.like(decide({}), { retry: true, retriesLeft: 1 });
  t.like(decide({ retriesLeft: 0 }), { reason: 'layers' });
  t.like(decide({ idempotent: false }), { reason: 'not-idempotent' });
  t.like(decide({ idempotent: false, notRun: true }), { retry: true });
  t.like(decide({ deadlineAt: 0 }), { reason: 'deadline' });
  const budget = new RetryBudget({ floorPerSecond: 0 });
  decide({}, budget);
  t.like(decide({}, budget), { reason: 'budget' });
});

test('the retries left from outer layers are capped; a malformed value allows none', (t) => {
  t.is(parseRetriesLeft(undefined), 2);
  t.is(parseRetriesLeft('1'), 1);
  t.is(parseRetriesLeft('99'), 2);
  for (const bad of ['-1', '1.5', 'x', '', '1 ']) t.is(parseRetriesLeft(bad), 0, bad);
});

test('retries of nested layers do not multiply the attempts', (t) => {
  /** Counts the attempts at the innermost, always failing service through layers that may retry. */
  function countAttempts(layers: readonly boolean[], header: string | undefined): number {
    const [retries, ...inner] = layers;
    if (retries === undefined) return 1;
    if (!retries) return countAttempts(inner, header);
    const budget = new RetryBudget({ floorPerSecond: 1e6, burst: 1000 });
    let retriesLeft = parseRetriesLeft(header);
    let total = 0;
    for (let attempts = 1; ; attempts += 1) {
      total += countAttempts(inner, '0');
      const state = { idempotent: true, notRun: false, deadlineAt: 1e9, attempts };
      const request = { key: KEY, retriesLeft, ...state };
      const decision = decideRetry({ request, budget, random: new SeededRandom(3), now: attempts });
      if (!decision.retry) return total;
      retriesLeft = decision.retriesLeft;
    }
  }
  fc.assert(
    fc.property(fc.array(fc.boolean(), { maxLength: 8 }), (layers) => {
      return countAttempts(layers, undefined) === (layers.includes(true) ? 3 : 1);
    }),
    { seed: 7, numRuns: 100 },
  );
  t.pass();
});

test('hedges are sent after the 95th percentile, for idempotent requests, within the budget', (t) => {
  const delay = new HedgeDelay();
  const budget = new RetryBudget({ floorPerSecond: 0 });
  const options = {
    key: KEY,
    idempotent: true,
    retriesLeft: 1,
    waitedMs: 96,
    delay,
    budget,
    now: 0,
  };
  t.false(decideHedge(options));
  for (let i = 1; i <= 256; i += 1) delay.record(i <= 244 ? 10 : 95);
  t.is(delay.delayMs, 10);
  for (let i = 1; i <= 16; i += 1) delay.record(95);
  t.is(delay.delayMs, 95);
  t.false(decideHedge({ ...options, waitedMs: 50 }));
  t.false(decideHedge({ ...options, idempotent: false }));
  t.true(decideHedge(options));
  t.false(decideHedge(options));
});
