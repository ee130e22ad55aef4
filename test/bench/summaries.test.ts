import test from 'ava';
import type { AnswerTiming } from '@ragwortrudder/bench';
import { SeededRandom } from '@ragwortrudder/core';
import { burstArrivals } from '../../packages/bench/src/utils/burst-arrivals.ts';
import { compareWithBest } from '../../packages/bench/src/utils/compare-with-best.ts';
import { overloadValues } from '../../packages/bench/src/utils/overload-values.ts';
import { herdingValues } from '../../packages/bench/src/utils/herding-values.ts';
import { medianRows } from '../../packages/bench/src/utils/median-rows.ts';
import { percentile } from '../../packages/bench/src/utils/percentile.ts';
import { recoveryValues } from '../../packages/bench/src/utils/recovery-values.ts';
import { modelRunValues } from '../../packages/bench/src/utils/model-run-values.ts';
import { toMarkdown } from '../../packages/bench/src/utils/to-markdown.ts';

function answer(changes: Partial<AnswerTiming> = {}, tenant = 'flood'): AnswerTiming {
  return {
    request: { atMs: 0, tenant, service: 'quotes', body: {} },
    ...{ outcome: 'done', code: '', hasRetryAfter: false, firstMs: 100, gapsMs: [20, 20] },
    ...{ elapsedMs: 140, tokens: 3 },
    ...changes,
  };
}

test('percentile handles unsorted, boundary and empty input', (t) => {
  t.is(percentile([3, 1, 2], 0.5), 2);
  t.is(percentile([1, 2, 3], 1), 3);
  t.true(Number.isNaN(percentile([], 0.5)));
});

test('bursts preserve the mean arrival rate', (t) => {
  const arrivals = burstArrivals({
    ...{ random: new SeededRandom(1), rate: 10, fromMs: 0, toMs: 600_000 },
  });
  t.true(arrivals.length > 5700 && arrivals.length < 6300);
  const inBursts = arrivals.filter((atMs) => atMs % 6000 < 1000).length;
  t.true(inBursts / arrivals.length > 0.38 && inBursts / arrivals.length < 0.46);
});

test('an unanswered request counts as outside the target', (t) => {
  const answers = [answer(), answer({ firstMs: 531 }), answer({ outcome: 'failed' })];
  const values = modelRunValues({
    ...{ answers, stats: [], durationMs: 3_600_000, pricePerHour: 6, prefillRate: 1000 },
  });
  t.is(values.done, 2);
  t.is(values.answersWithin, 1 / 3);
  t.is(values.firstP99, Infinity);
  t.is(values.costPer1000, 2000);
});

test('an answer with a mean token gap above the target is outside the target', (t) => {
  const values = modelRunValues({
    ...{ answers: [answer({ gapsMs: [60, 30] })], stats: [], durationMs: 1000 },
    ...{ pricePerHour: 1, prefillRate: 1000 },
  });
  t.is(values.answersWithin, 0);
  t.is(values.gapWithin, 0.5);
});

test('goodput counts answers within the deadline, and refusals are counted separately', (t) => {
  const answers = [
    answer(),
    answer({ elapsedMs: 3001 }),
    answer({ outcome: 'refused', hasRetryAfter: true, elapsedMs: 5 }),
    answer({}, 'quiet'),
    answer({ elapsedMs: 9000 }, 'batch'),
  ];
  const values = overloadValues({ answers, deadlineMs: 3000, durationMs: 1000 });
  t.is(values.goodput, 3);
  t.is(values.late, 1);
  t.is(values.refused, 1);
  t.is(values.retryAfter, 1);
  t.is(values.quietP95, 100);
  t.is(values.batchDone, 1);
});

const tables = [1, 2, 3].map((seed) => ({
  seed,
  rows: [
    { policy: 'new', values: { cost: seed } },
    { policy: 'old', values: { cost: 4 } },
    { policy: 'older', values: { cost: 2 } },
  ],
}));

test('ratios are relative to the best baseline of each seed', (t) => {
  const comparison = { policy: 'new', baselines: ['old', 'older'] };
  t.deepEqual(compareWithBest(tables, { ...comparison, values: { cost: 'lower' } })[0]?.values, {
    median: 1,
    least: 0.5,
    greatest: 1.5,
  });
  t.is(
    compareWithBest(tables, { ...comparison, values: { cost: 'higher' } })[0]?.values.median,
    0.5,
  );
});

test('the Markdown table shows the medians over the seeds', (t) => {
  const rows = medianRows(tables);
  t.is(rows[0]?.values.cost, 2);
  t.is(
    toMarkdown(rows),
    '| policy | cost |\n| --- | --- |\n| new | 2 |\n| old | 4 |\n| older | 2 |',
  );
});

test('the recovery time is measured from the end of the fault', (t) => {
  const answerAt = (atMs: number, changes: Partial<AnswerTiming> = {}): AnswerTiming => {
    const one = answer(changes);
    return { ...one, request: { ...one.request, atMs } };
  };
  const answers = [
    ...[0, 1000, 2000].map((atMs) => answerAt(atMs)),
    ...[4000, 5000].map((atMs) => answerAt(atMs, { outcome: 'failed' })),
    ...[8000, 9000].map((atMs) => answerAt(atMs, { firstMs: 500 })),
    ...[10_000, 11_000, 12_500].map((atMs) => answerAt(atMs)),
  ];
  const values = recoveryValues({
    ...{ answers, faultFromMs: 4000, faultToMs: 8000, attempts: [3, 7, 12], runs: [] },
  });
  t.is(values.recoveryMs, 2000);
  t.is(values.doneDuring, 0);
  t.is(values.attemptsPerRequestDuring, 2);
  t.is(values.repeatedRuns, 0);
});

test('repeated runs of a non-idempotent operation are counted', (t) => {
  const run = { runner: 'a', payload: {}, number: 1, times: 1, time: 0 };
  const runs = [
    { ...run, operation: 'orders', key: 'k' },
    { ...run, operation: 'orders', key: 'k', runner: 'b' },
    { ...run, operation: 'stock', key: 's' },
    { ...run, operation: 'stock', key: 's' },
  ];
  const values = recoveryValues({
    ...{ answers: [answer()], faultFromMs: 1, faultToMs: 2, attempts: [1, 1, 1], runs },
  });
  t.is(values.repeatedRuns, 1);
});

test('the herding value is the largest share of one runner within 100 ms', (t) => {
  const answerFrom = (runner: string, atMs: number): AnswerTiming => {
    const one = answer();
    return { ...one, runner, request: { ...one.request, atMs } };
  };
  const answers = [
    ...Array.from({ length: 6 }, (_, i) => answerFrom('a', i)),
    ...Array.from({ length: 2 }, (_, i) => answerFrom('b', 90 + i)),
    answerFrom('b', 150),
  ];
  const values = herdingValues({ answers, slowRunner: 'b' });
  t.is(values.herdLargest, 0.75);
  t.is(values.windows, 1);
  t.is(values.slowShare, 1 / 3);
});
