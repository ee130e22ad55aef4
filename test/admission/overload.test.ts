/** Simulations in one process, in discrete time, of admission before a fixed pool of slots. */
import test from 'ava';
import { AdmissionQueue, RetryBudget, decideRetry } from '@ragwortrudder/admission';
import type { AdmissionRequest, RequestClass } from '@ragwortrudder/admission';
import { SeededRandom } from '@ragwortrudder/core';

const SEED = 20;
const SLOTS = 20;
const SERVICE_MS = 100;
const PATIENCE_MS = 1000;
const DURATION_MS = 60_000;
const CAPACITY_PER_MS = SLOTS / SERVICE_MS;

interface Source {
  readonly tenant: string;
  readonly class: RequestClass;
  readonly perMs: number;
  readonly patienceMs: number;
}

interface Result {
  readonly offered: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly expired: number;
  readonly p95Ms: number;
}

interface Run {
  readonly source: Source;
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

/** Unbounded first-in-first-out queue, the baseline. */
class Fifo {
  readonly #items: AdmissionRequest[] = [];
  offer(request: AdmissionRequest) {
    this.#items.push(request);
    return { state: 'queued' as const };
  }
  take() {
    return this.#items.shift();
  }
  expire(): readonly { readonly request: AdmissionRequest }[] {
    return [];
  }
}

/**
 * Serves the sources for `DURATION_MS` and judges every request by its source's patience. Service
 * times are uniform over `SERVICE_MS` plus or minus half of `spread`.
 */
function simulate(queue: AdmissionQueue | Fifo, sources: readonly Source[], spread = 1) {
  const random = new SeededRandom(SEED);
  const runs = new Map<string, Run>();
  const busyUntil = Array.from({ length: SLOTS }, () => 0);
  const counts = new Map(
    sources.map((s) => [s, { offered: 0, inTime: 0, late: 0, refused: 0, expired: 0 }]),
  );
  const countOf = (id: string) => {
    const run = runs.get(id);
    return run && counts.get(run.source);
  };
  const latencies = new Map<Source, number[]>(sources.map((s) => [s, []]));
  for (let now = 0; now < DURATION_MS; now += 1) {
    for (const source of sources) {
      const count = counts.get(source);
      for (let n = poisson(source.perMs, random); n > 0 && count; n -= 1) {
        count.offered += 1;
        const id = `${source.tenant}-${source.class}-${count.offered}`;
        runs.set(id, { source, arrivedAt: now });
        const deadlineAt = now + source.patienceMs - 1.5 * SERVICE_MS;
        const { tenant, class: kind } = source;
        const answer = queue.offer({ id, tenant, class: kind, cost: 1, deadlineAt }, now);
        if (answer.state === 'refused') count.refused += 1;
      }
    }
    for (const { request } of queue.expire(now)) {
      const count = countOf(request.id);
      if (count) count.expired += 1;
    }
    for (let slot = 0; slot < SLOTS; slot += 1) {
      if ((busyUntil[slot] ?? 0) > now) continue;
      const run = runs.get(queue.take(now)?.id ?? '');
      if (!run) continue;
      const serviceMs = Math.ceil(SERVICE_MS * (1 + spread * (random.next() - 0.5)));
      busyUntil[slot] = now + serviceMs;
      const latencyMs = now + serviceMs - run.arrivedAt;
      const count = counts.get(run.source);
      if (count && latencyMs <= run.source.patienceMs) count.inTime += 1;
      else if (count) count.late += 1;
      latencies.get(run.source)?.push(latencyMs);
    }
  }
  return sources.map((source): Result => {
    const sorted = [...(latencies.get(source) ?? [])].sort((a, b) => a - b);
    const p95Ms = sorted[Math.floor(sorted.length * 0.95)] ?? NaN;
    return {
      ...(counts.get(source) ?? { offered: 0, inTime: 0, late: 0, refused: 0, expired: 0 }),
      p95Ms,
    };
  });
}

function queueOf(): AdmissionQueue {
  return new AdmissionQueue({ random: new SeededRandom(SEED + 1), maxQueued: 1000 });
}

function interactive(tenant: string, load: number): Source {
  const perMs = load * CAPACITY_PER_MS;
  return { tenant, class: 'interactive', perMs, patienceMs: PATIENCE_MS };
}

test('goodput holds at twice and four times the capacity', (t) => {
  const goodput = (load: number, queue: AdmissionQueue | Fifo): number => {
    const results = simulate(queue, [interactive('a', load / 2), interactive('b', load / 2)]);
    const sum = (of: (r: Result) => number): number => results.reduce((s, r) => s + of(r), 0);
    const part = sum((r) => r.inTime) / (CAPACITY_PER_MS * DURATION_MS);
    t.log({
      load,
      queue: queue.constructor.name,
      goodput: part.toFixed(3),
      late: sum((r) => r.late),
      refused: sum((r) => r.refused),
      expired: sum((r) => r.expired),
    });
    return part;
  };
  goodput(0.5, queueOf());
  const atOne = goodput(1, queueOf());
  const atTwo = goodput(2, queueOf());
  const atFour = goodput(4, queueOf());
  const fifoAtTwo = goodput(2, new Fifo());
  t.true(atTwo >= 0.9 * atOne);
  t.true(atFour >= 0.9 * atOne);
  t.true(fifoAtTwo < 0.5 * atTwo);
});

test('a flooding tenant does not slow a quiet one', (t) => {
  const quiet = interactive('quiet', 0.1);
  const [alone] = simulate(queueOf(), [quiet]);
  const [beside, flood] = simulate(queueOf(), [quiet, interactive('flood', 4)]);
  const [fifo] = simulate(new Fifo(), [quiet, interactive('flood', 4)]);
  const [inStep] = simulate(queueOf(), [quiet, interactive('flood', 4)], 0);
  t.log({ alone, beside, flood, fifo, inStep });
  t.truthy(alone && beside && fifo);
  if (!alone || !beside || !fifo) return;
  t.is(beside.refused + beside.expired + beside.late, 0);
  t.true(beside.p95Ms <= 1.2 * alone.p95Ms);
  t.true(fifo.p95Ms > 10 * beside.p95Ms);
});

test('batch work waits but finishes while interactive work overloads', (t) => {
  const batch: Source = {
    tenant: 'a',
    class: 'batch',
    perMs: 0.05 * CAPACITY_PER_MS,
    patienceMs: 30_000,
  };
  const [result] = simulate(queueOf(), [batch, interactive('b', 4)]);
  t.log(result);
  t.true((result?.inTime ?? 0) >= 0.95 * (result?.offered ?? 1));
});

/** Outcome of a run in which a part of the attempts fails for a while and callers retry. */
function storm(hasBudget: boolean, failing: number) {
  const random = new SeededRandom(SEED);
  const budget = new RetryBudget();
  const key = { endpoint: 'e', class: 'interactive' } as const;
  const faultStart = 10_000;
  const faultEnd = 20_000;
  let due: { readonly at: number; readonly attempts: number; readonly deadlineAt: number }[] = [];
  let busy = 0;
  let tries = 0;
  let attempts = 0;
  let lastLateAt = 0;
  const ends: { readonly at: number; readonly attempts: number; readonly deadlineAt: number }[] =
    [];
  const waiting: { readonly attempts: number; readonly deadlineAt: number }[] = [];
  for (let now = 0; now < DURATION_MS; now += 1) {
    for (let n = poisson(0.8 * CAPACITY_PER_MS, random); n > 0; n -= 1) {
      tries += 1;
      budget.firstTry(key, now);
      waiting.push({ attempts: 1, deadlineAt: now + PATIENCE_MS });
    }
    for (const item of due.filter(({ at }) => at <= now)) waiting.push(item);
    due = due.filter(({ at }) => at > now);
    while (ends[0] && ends[0].at <= now) {
      const ended = ends.shift();
      busy -= 1;
      if (!ended) break;
      const isFault = now >= faultStart && now < faultEnd && random.next() < failing;
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
      const free = { retry: true, delayMs: 50 * random.next() } as const;
      const decision = hasBudget ? decideRetry({ request: retry, budget, random, now }) : free;
      if (!decision.retry || ended.attempts > 10) continue;
      const deadlineAt = now + decision.delayMs + PATIENCE_MS;
      due.push({ at: now + decision.delayMs, attempts: ended.attempts + 1, deadlineAt });
    }
    while (busy < SLOTS && waiting.length > 0) {
      const next = waiting.shift();
      if (!next) break;
      busy += 1;
      attempts += 1;
      ends.push({ at: now + SERVICE_MS, ...next });
    }
  }
  const recoveryMs = Math.max(0, lastLateAt - faultEnd);
  return { tries, attempts, extra: attempts / tries - 1, recoveryMs };
}

for (const failing of [1, 1 / 3]) {
  test(`retries stay under the budget and no storm follows when ${failing.toFixed(2)} fail`, (t) => {
    const budgeted = storm(true, failing);
    const free = storm(false, failing);
    t.log({ budgeted, free });
    t.true(budgeted.extra <= 0.11);
    t.true(budgeted.recoveryMs <= 1000);
    t.true(free.recoveryMs > 10 * Math.max(1000, budgeted.recoveryMs));
  });
}
