import test from 'ava';
import fc from 'fast-check';
import { planWorkload } from '../../packages/bench/src/utils/plan-workload.ts';

const rates = {
  ...{ quoteSessions: 2, reconciliations: 2, questions: 2, stock: 2, reorders: 2, filings: 2 },
};
const tenants = { large: 4, small: 1 };
const durationMs = 10_000;

test('the same seed plans the same arrivals, in order and within the run', (t) => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 1000 }), (seed) => {
      const planned = planWorkload({ seed, durationMs, rates, tenants });
      t.deepEqual(planned, planWorkload({ seed, durationMs, rates, tenants }));
      const times = planned.map(({ atMs }) => atMs);
      t.deepEqual(
        times,
        [...times].sort((a, b) => a - b),
      );
      t.true(times.every((atMs) => atMs >= 0 && atMs < durationMs));
    }),
    { seed: 1, numRuns: 20 },
  );
});

test('the prompt of each turn in a quote session starts with the previous prompt', (t) => {
  const planned = planWorkload({ seed: 3, durationMs, rates, tenants });
  const prompts = planned
    .filter(({ service }) => service === 'quotes')
    .map(({ body }) => String(body.prompt));
  const continued = prompts.filter((prompt, index) =>
    prompts.slice(0, index).some((earlier) => prompt.startsWith(`${earlier} `)),
  );
  t.true(continued.length > prompts.length / 3);
  t.true(prompts.every((prompt) => prompt.split(' ').length >= 200));
  t.true(prompts.every((prompt) => prompt.split(' ').length <= 800));
});

test('non-idempotent operations have unique idempotency keys', (t) => {
  const planned = planWorkload({ seed: 4, durationMs, rates, tenants });
  const keyed = planned.filter(({ service }) => service === 'orders' || service === 'filing');
  t.is(new Set(keyed.map(({ idempotencyKey }) => idempotencyKey)).size, keyed.length);
  t.true(planned.every((one) => one.service !== 'stock' || one.idempotencyKey === undefined));
});

test('a tenant with a larger share sends more requests', (t) => {
  const planned = planWorkload({ seed: 5, durationMs: 60_000, rates, tenants });
  const large = planned.filter(({ tenant }) => tenant === 'large').length;
  t.true(large > planned.length * 0.7 && large < planned.length * 0.9);
});
