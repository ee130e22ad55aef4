/** In-process, discrete-time simulations of admission control for a fixed pool of slots. */
import test from 'ava';
import { AdmissionQueue, RetryBudget, decideRetry } from '@ragwortrudder/admission';
import type { AdmissionRequest, RequestClass } from '@ragwortrudder/admission';
import { SeededRandom } from '@ragwortrudder/core';

const SEED = 20;
const SLOTS = 20;
const SERVICE_MS = 100;
const CALLER_TIMEOUT_MS = 1000;
const DURATION_MS = 60_000;
const CAPACITY_PER_MS = SLOTS / SERVICE_MS;

interface TrafficSource {
  readonly tenant: string;
  readonly class: RequestClass;
  readonly perMs: number;
  readonly callerTimeoutMs: number;
}

interface SourceResult {
  readonly offered: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly expired: number;
  readonly p95Ms: number;
}

interface OfferedRequest {
  readonly source: TrafficSource;
  readonly arrivedAt: number;
}

function poisson(mean: number, random: SeededRandom): number {
  let count = 0;
  let product = random.next();
  const limit = Math.exp(-mean);
  while (product > limit) {
    count += 1;
    product *= random.next();
  }
  return count;
}

/** Baseline: unbounded first-in-first-out queue. */
class Fifo {
  readonly #items: AdmissionRequest[] = [];
  offer(request: AdmissionRequest) {
    this.#items.push(request);
    return { state: 'queued' as const };
  }
  take() {
    return this.#items.shift();
  }
  takeDropped(): readonly { readonly request: AdmissionRequest }[] {
    return [];
  }
}

/**
 * Serves the sources for `DURATION_MS` and counts each request as in time or late by its source's
 * timeout. Service times are uniform in `SERVICE_MS * (1 ± spread / 2)`.
 */
function simulate(queue: AdmissionQueue | Fifo, sources: readonly TrafficSource[], spread = 1) {
  const random = new SeededRandom(SEED);
  const offeredRequests = new Map<string, OfferedRequest>();
  const busyUntil = Array.from({ length: SLOTS }, () => 0);
  const counts = new Map(
    sources.map((s) => [s, { offered: 0, inTime: 0, late: 0, refused: 0, expired: 0 }]),
  );
  const countOf = (id: string) => {
    const offered = offeredRequests.get(id);
    return offered && counts.get(offered.source);
  };
  const latencies = new Map<TrafficSource, number[]>(sources.map((s) => [s, []]));
  for (let now = 0; now < DURATION_MS; now += 1) {
    for (const source of sources) {
      const count = counts.get(source);
      for (let n = poisson(source.perMs, random); n > 0 && count; n -= 1) {
        count.offered += 1;
        const id = `${source.tenant}-${source.class}-${count.offered}`;
        offeredRequests.set(id, { source, arrivedAt: now });
        const deadlineAt = now + source.callerTimeoutMs - 1.5 * SERVICE_MS;
        const { tenant, class: kind } = source;
        const answer = queue.offer({ id, tenant, class: kind, cost: 1, deadlineAt }, now);
        if (answer.state === 'refused') count.refused += 1;
      }
    }
    for (const { request } of queue.takeDropped(now)) {
      const count = countOf(request.id);
      if (count) count.expired += 1;
    }
    for (let slot = 0; slot < SLOTS; slot += 1) {
      if ((busyUntil[slot] ?? 0) > now) continue;
      const offered = offeredRequests.get(queue.take(now)?.id ?? '');
      if (!offered) continue;
      const serviceMs = Math.ceil(SERVICE_MS * (1 + spread * (random.next() - 0.5)));
      busyUntil[slot] = now + serviceMs;
      const latencyMs = now + serviceMs - offered.arrivedAt;
      const count = counts.get(offered.source);
      if (count && latencyMs <= offered.source.callerTimeoutMs) count.inTime += 1;
      else if (count) count.late += 1;
      latencies.get(offered.source)?.push(latencyMs);
    }
  }
  return sources.map((source): SourceResult => {
    const sorted = [...(latencies.get(source) ?? [])].sort((a, b) => a - b);
    const p95Ms = sorted[Math.floor(sorted.length * 0.95)] ?? NaN;
    return {
      ...(counts.get(source) ?? { offered: 0, inTime: 0, late: 0, refused: 0, expired: 0 }),
      p95Ms,
    };
  });
}

function createQueue(): AdmissionQueue {
  return new AdmissionQueue({ random: new SeededRandom(SEED + 1), maxQueued: 1000 });
}

function interactive(tenant: string, load: number): TrafficSource {
  const perMs = load * CAPACITY_PER_MS;
  return { tenant, class: 'interactive', perMs, callerTimeoutMs: CALLER_TIMEOUT_MS };
}

test('goodput holds at twice and four times the capacity', (t) => {
  const goodput = (load: number, queue: AdmissionQueue | Fifo): number => {
    const results = simulate(queue, [interactive('a', load / 2), interactive('b', load / 2)]);
    const sum = (of: (r: SourceResult) => number): number => results.reduce((s, r) => s + of(r), 0);
    const goodputFraction = sum((r) => r.inTime) / (CAPACITY_PER_MS * DURATION_MS);
    t.log({
      load,
      queue: queue.constructor.name,
      goodput: goodputFraction.toFixed(3),
      late: sum((r) => r.late),
      refused: sum((r) => r.refused),
      expired: sum((r) => r.expired),
    });
    return goodputFraction;
  };
  goodput(0.5, createQueue());
  const atOne = goodput(1, createQueue());
  const atTwo = goodput(2, createQueue());
  const atFour = goodput(4, createQueue());
  const fifoAtTwo = goodput(2, new Fifo());
  t.true(atTwo >= 0.9 * atOne);
  t.true(atFour >= 0.9 * atOne);
  t.true(fifoAtTwo < 0.5 * atTwo);
});

test('a flooding tenant does not slow down a quiet one', (t) => {
  const quiet = interactive('quiet', 0.1);
  const [alone] = simulate(createQueue(), [quiet]);
  const [beside, flood] = simulate(createQueue(), [quiet, interactive('flood', 4)]);
  const [fifo] = simulate(new Fifo(), [quiet, interactive('flood', 4)]);
  const [inStep] = simulate(createQueue(), [quiet, interactive('flood', 4)], 0);
  t.log({ alone, beside, flood, fifo, inStep });
  t.truthy(alone && beside && fifo);
  if (!alone || !beside || !fifo) return;
  t.is(beside.refused + beside.expired + beside.late, 0);
  t.true(beside.p95Ms <= 1.2 * alone.p95Ms);
  t.true(fifo.p95Ms > 10 * beside.p95Ms);
});

test('batch work is delayed but finishes while interactive work overloads the slots', (t) => {
  const batch: TrafficSource = {
    tenant: 'a',
    class: 'batch',
    perMs: 0.05 * CAPACITY_PER_MS,
    callerTimeoutMs: 30_000,
  };
  const [result] = simulate(createQueue(), [batch, interactive('b', 4)]);
  t.log(result);
  t.true((result?.inTime ?? 0) >= 0.95 * (result?.offered ?? 1));
});

/** Simulates a period in which a fraction of the attempts fails and callers retry. */
function simulateRetryStorm(hasBudget: boolean, failureRate: number) {
  const random = new SeededRandom(SEED);
  const budget = new RetryBudget();
  const key = { endpoint: 'e', class: 'interactive' } as const;
  const faultStart = 10_000;
  const faultEnd = 20_000;
  let scheduledRetries: {
    readonly at: number;
    readonly attempts: number;
    readonly deadlineAt: number;
  }[] = [];
  let busySlots = 0;
  let tries = 0;
  let attempts = 0;
  let lastLateAt = 0;
  const inService: {
    readonly at: number;
    readonly attempts: number;
    readonly deadlineAt: number;
  }[] = [];
  const waiting: { readonly attempts: number; readonly deadlineAt: number }[] = [];
  for (let now = 0; now < DURATION_MS; now += 1) {
    for (let n = poisson(0.8 * CAPACITY_PER_MS, random); n > 0; n -= 1) {
      tries += 1;
      budget.recordFirstAttempt(key, now);
      waiting.push({ attempts: 1, deadlineAt: now + CALLER_TIMEOUT_MS });
    }
    for (const item of scheduledRetries.filter(({ at }) => at <= now)) waiting.push(item);
    scheduledRetries = scheduledRetries.filter(({ at }) => at > now);
    while (inService[0] && inService[0].at <= now) {
      const ended = inService.shift();
      busySlots -= 1;
      if (!ended) break;
      const isFault = now >= faultStart && now < faultEnd && random.next() < failureRate;
      const isLate = now > ended.deadlineAt;
      if (isLate && now >= faultEnd) lastLateAt = now;
      if (!isFault && !isLate) continue;
      const retry = {
        key,
        retriesLeft: 10,
        idempotent: true,
        notRun: false,
        deadlineAt: Infinity,
        attempts: ended.attempts,
      };
      const unlimited = { retry: true, delayMs: 50 * random.next() } as const;
      const decision = hasBudget ? decideRetry({ request: retry, budget, random, now }) : unlimited;
      if (!decision.retry || ended.attempts > 10) continue;
      const deadlineAt = now + decision.delayMs + CALLER_TIMEOUT_MS;
      scheduledRetries.push({
        at: now + decision.delayMs,
        attempts: ended.attempts + 1,
        deadlineAt,
      });
    }
    while (busySlots < SLOTS && waiting.length > 0) {
      const next = waiting.shift();
      if (!next) break;
      busySlots += 1;
      attempts += 1;
      inService.push({ at: now + SERVICE_MS, ...next });
    }
  }
  const recoveryMs = Math.max(0, lastLateAt - faultEnd);
  return { tries, attempts, extra: attempts / tries - 1, recoveryMs };
}

for (const failureRate of [1, 1 / 3]) {
  test(`retries stay within the budget and cause no retry storm when ${failureRate.toFixed(2)} fail`, (t) => {
    const budgeted = simulateRetryStorm(true, failureRate);
    const free = simulateRetryStorm(false, failureRate);
    t.log({ budgeted, free });
    t.true(budgeted.extra <= 0.11);
    t.true(budgeted.recoveryMs <= 1000);
    t.true(free.recoveryMs > 10 * Math.max(1000, budgeted.recoveryMs));
  });
}
