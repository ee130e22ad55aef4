import test from 'ava';
import { SeededRandom } from '@ragwortrudder/core';
import { RecomputeCounts, StreamMonitor, chooseReclaimAction } from '@ragwortrudder/routing';
import type { ReclaimOptions } from '@ragwortrudder/routing';
import { runnerView } from './runner-view.ts';

function watchWithGaps(gapMs: number, tokens = 200): StreamMonitor {
  const watch = new StreamMonitor();
  watch.start('s', 0);
  for (let i = 1; i <= tokens; i += 1) watch.recordToken('s', i * gapMs);
  return watch;
}

test('silence far beyond the learned gap triggers a probe', (t) => {
  const watch = watchWithGaps(100);
  const last = 200 * 100;
  t.is(watch.verdict('s', last + 500), 'wait');
  t.is(watch.verdict('s', last + 1200), 'probe');
  t.is(watch.verdict('unknown', last), 'wait');
  t.true(watch.nextCheckAt('s') > last + 700 && watch.nextCheckAt('s') < last + 1100);
  watch.recordToken('s', last + 1200);
  t.is(watch.verdict('s', last + 1300), 'wait');
});

test('rare long gaps do not hide a silent stream', (t) => {
  const watch = new StreamMonitor();
  watch.start('s', 0);
  let now = 0;
  for (let i = 1; i <= 1000; i += 1) {
    now += i % 200 === 0 ? 20_000 : 40;
    watch.recordToken('s', now);
  }
  t.true(watch.silenceBoundMs('s') < 2000);
});

test('a probe distinguishes a silent connection from an unreachable endpoint and from a slow engine', (t) => {
  const watch = watchWithGaps(40);
  const now = 200 * 40 + 2000;
  t.is(watch.handleProbeResult('s', { reachable: false }, now), 'PROBE_FAIL');
  t.is(watch.handleProbeResult('s', { reachable: true, stepMs: 40 }, now), 'PROBE_OK');
  t.is(watch.handleProbeResult('s', { reachable: true, stepMs: 600 }, now), 'PROGRESS');
  t.is(watch.verdict('s', now, { stepMs: 600 }), 'wait');
});

test('a slow engine that reports its step time is not suspected', (t) => {
  const watch = watchWithGaps(40);
  const last = 200 * 40;
  t.is(watch.verdict('s', last + 3000), 'probe');
  t.is(watch.verdict('s', last + 3000, { stepMs: 500 }), 'wait');
});

test('the bound for the first token depends on its estimate and on activity', (t) => {
  const watch = new StreamMonitor();
  watch.start('s', 0);
  t.is(watch.verdict('s', 3000), 'probe');
  t.is(watch.verdict('s', 3000, { firstTokenMs: 900 }), 'wait');
  watch.recordActivity('s', 2900);
  t.is(watch.verdict('s', 3000), 'wait');
  watch.stop('s');
  t.is(watch.nextCheckAt('s'), Infinity);
});

const RECLAIM: ReclaimOptions = {
  remainingMs: 30_000,
  request: { id: 'r', service: 'quotes', blocks: [], promptTokens: 8000 },
  source: runnerView('1', { leaving: true, state: 'leaving' }),
  remainingTokens: 2000,
  candidates: [runnerView('1', { state: 'leaving' }), runnerView('2'), runnerView('3')],
  random: new SeededRandom(1),
};
const EXPORT = { tokens: 8000, tokensPerSecond: 100_000, overheadMs: 20 };

test('a request that can finish in time stays on its runner', (t) => {
  t.is(chooseReclaimAction({ ...RECLAIM, remainingTokens: 100 }).action, 'finish');
});

test('the cheaper of moving the KV cache and recomputing is chosen', (t) => {
  const moved = chooseReclaimAction({ ...RECLAIM, kvExport: EXPORT });
  t.like(moved, { action: 'move-kv', recomputedTokens: 0 });
  t.not(moved.target?.id, '1');
  const computed = chooseReclaimAction({
    ...RECLAIM,
    kvExport: { ...EXPORT, tokensPerSecond: 1000 },
  });
  t.like(computed, { action: 'recompute', recomputedTokens: 8000 });
  t.is(chooseReclaimAction(RECLAIM).action, 'recompute');
});

test('a KV cache that cannot be transferred in time is not moved', (t) => {
  const slow = { ...EXPORT, tokensPerSecond: 20_000 };
  t.is(chooseReclaimAction({ ...RECLAIM, remainingMs: 500, kvExport: slow }).action, 'recompute');
});

test('without an eligible target the request stays on its runner', (t) => {
  t.is(chooseReclaimAction({ ...RECLAIM, candidates: [RECLAIM.source] }).action, 'finish');
});

test('recomputed tokens are counted by cause', (t) => {
  const counts = new RecomputeCounts();
  counts.add('reclaim', 10);
  counts.add('reclaim', 5);
  counts.add('move', 1);
  t.deepEqual(Object.fromEntries(counts.snapshot()), { reclaim: 15, move: 1 });
  t.is(counts.tokens('failure'), 0);
});
