import test from 'ava';
import fc from 'fast-check';
import { AdmissionQueue, RequestRefused } from '@ragwortrudder/admission';
import type { AdmissionRequest, RequestClass } from '@ragwortrudder/admission';
import { SeededRandom } from '@ragwortrudder/core';

function request(id: string, fields: Partial<AdmissionRequest> = {}): AdmissionRequest {
  return { id, tenant: 'a', class: 'interactive', cost: 1, deadlineAt: 1e9, ...fields };
}

function createQueue(options: Partial<ConstructorParameters<typeof AdmissionQueue>[0]> = {}) {
  return new AdmissionQueue({ random: new SeededRandom(1), ...options });
}

test('refuses immediately when the estimated wait exceeds the deadline', (t) => {
  const queue = createQueue({ initialDrainRate: 10 });
  for (let i = 0; i < 10; i += 1) queue.offer(request(`q${i}`), 0);
  const answer = queue.offer(request('late', { deadlineAt: 500 }), 0);
  t.is(answer.state, 'queued', 'within a tenant the earliest deadline is served first');
  const refused = queue.offer(request('behind', { deadlineAt: 90, tenant: 'a', cost: 1 }), 0);
  t.is(refused.state, 'queued');
  const full = createQueue({ initialDrainRate: 10 });
  for (let i = 0; i < 10; i += 1) full.offer(request(`q${i}`, { deadlineAt: 5000 }), 0);
  const answered = full.offer(request('x', { deadlineAt: 5000, cost: 1 }), 4500);
  t.like(answered, { state: 'refused', reason: 'wait-exceeds-deadline' });
  t.true(answered.state === 'refused' && answered.retryAfterMs >= 100);
});

test('refuses when the queue of the class or the share of the tenant is full', (t) => {
  const queue = createQueue({ maxQueued: 4, maxTenantShare: 0.5 });
  t.is(queue.offer(request('1'), 0).state, 'queued');
  t.is(queue.offer(request('2'), 0).state, 'queued');
  t.like(queue.offer(request('3'), 0), { reason: 'tenant-queue-full' });
  queue.offer(request('4', { tenant: 'b' }), 0);
  queue.offer(request('5', { tenant: 'b' }), 0);
  t.is(queue.sizes.interactive, 4);
});

test('a tenant below its share displaces the last request of the tenant above its share', (t) => {
  const queue = createQueue({ maxQueued: 4, maxTenantShare: 1 });
  for (let i = 0; i < 4; i += 1) queue.offer(request(`f${i}`, { deadlineAt: 1e6 + i }), 0);
  t.is(queue.offer(request('quiet', { tenant: 'b' }), 0).state, 'queued');
  t.deepEqual(
    queue.takeDropped(0).map((item) => [item.request.id, item.reason]),
    [['f3', 'displaced']],
  );
  t.like(queue.offer(request('flood'), 0), { reason: 'queue-full' });
});

test('a request whose deadline passed is returned once and never taken', (t) => {
  const queue = createQueue();
  queue.offer(request('old', { deadlineAt: 100 }), 0);
  queue.offer(request('new', { deadlineAt: 1000, tenant: 'b' }), 0);
  t.is(queue.nextDropAt(), 100);
  t.is(queue.take(101)?.id, 'new');
  t.deepEqual(
    queue.takeDropped(101).map((item) => item.request.id),
    ['old'],
  );
  t.deepEqual(queue.takeDropped(101), []);
  t.is(queue.take(101), undefined);
});

test('a cancelled request is removed', (t) => {
  const queue = createQueue();
  queue.offer(request('1'), 0);
  t.true(queue.cancel('1'));
  t.false(queue.cancel('1'));
  t.is(queue.take(0), undefined);
});

test('every accepted request is taken, expired, displaced or cancelled exactly once', (t) => {
  const step = fc.record({
    kind: fc.constantFrom('offer', 'offer', 'offer', 'take', 'expire', 'cancel'),
    tenant: fc.constantFrom('a', 'b', 'c'),
    class: fc.constantFrom<RequestClass>('interactive', 'batch'),
    cost: fc.integer({ min: 1, max: 50 }),
    waitMs: fc.integer({ min: 0, max: 400 }),
    patienceMs: fc.integer({ min: 0, max: 2000 }),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 120 }), (steps) => {
      const queue = createQueue({ maxQueued: 6 });
      const accepted = new Set<string>();
      const ended: string[] = [];
      let now = 0;
      steps.forEach((item, index) => {
        now += item.waitMs;
        const offered = request(`r${index}`, { ...item, deadlineAt: now + item.patienceMs });
        if (item.kind === 'offer' && queue.offer(offered, now).state === 'queued') {
          accepted.add(offered.id);
        }
        if (item.kind === 'take') {
          const taken = queue.take(now);
          if (taken) ended.push(taken.id);
          if (taken && taken.deadlineAt < now) throw new Error('taken after its deadline');
        }
        if (item.kind === 'expire') ended.push(...queue.takeDropped(now).map((e) => e.request.id));
        const cancelledId = `r${index - 1}`;
        if (item.kind === 'cancel' && queue.cancel(cancelledId)) ended.push(cancelledId);
        if (queue.sizes.interactive > 6 || queue.sizes.batch > 6)
          throw new Error('queue exceeds its bound of 6 requests');
      });
      ended.push(...queue.takeDropped(1e12).map((e) => e.request.id));
      return ended.length === accepted.size && ended.every((id) => accepted.has(id));
    }),
    { seed: 11, numRuns: 300 },
  );
  t.pass();
});

test('capacity is shared by weight and cost, and batch is never starved', (t) => {
  const queue = createQueue({
    maxQueued: 5000,
    maxTenantShare: 1,
    tenantWeights: new Map([['big', 3]]),
  });
  for (let i = 0; i < 1000; i += 1) {
    queue.offer(request(`b${i}`, { tenant: 'big', cost: 2 }), 0);
    queue.offer(request(`s${i}`, { tenant: 'small', cost: 4 }), 0);
    queue.offer(request(`w${i}`, { tenant: 'small', class: 'batch', cost: 1 }), 0);
  }
  const served = { big: 0, small: 0, batch: 0 };
  for (let i = 0; i < 500; i += 1) {
    const taken = queue.take(0);
    if (!taken) break;
    const key = taken.class === 'batch' ? 'batch' : taken.tenant === 'big' ? 'big' : 'small';
    served[key] += taken.cost;
  }
  const total = served.big + served.small + served.batch;
  t.log(served);
  t.true(Math.abs(served.big / served.small - 3) < 0.1);
  t.true(Math.abs(served.batch / total - 0.1) < 0.01);
});

test('settling a higher actual cost delays the next requests of the tenant', (t) => {
  const queue = createQueue();
  for (let i = 0; i < 20; i += 1) {
    queue.offer(request(`a${i}`), 0);
    queue.offer(request(`b${i}`, { tenant: 'b' }), 0);
  }
  const first = queue.take(0);
  if (first) queue.adjustCost(first, 6);
  const next = Array.from({ length: 5 }, () => queue.take(0)?.tenant);
  t.true(next.every((tenant) => tenant !== first?.tenant));
});

test('a refusal states that the request was not run and when to retry', (t) => {
  t.like(new RequestRefused('queue-full', 700), {
    code: 'request-refused',
    reason: 'queue-full',
    status: 429,
    notRun: true,
    retryable: true,
    retryAfterMs: 700,
  });
});
