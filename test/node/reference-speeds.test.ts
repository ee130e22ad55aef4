import test from 'ava';
import { RunnerTracker, estimateFirstToken } from '@ragwortrudder/routing';
import type { RunnerView } from '@ragwortrudder/routing';
import { ReferenceSpeeds } from '../../packages/node/src/utils/reference-speeds.ts';

const request = { id: 'r', service: 'quotes', blocks: [], promptTokens: 800 };

function viewOf(
  version: string,
  prefillRate: number,
  kind: RunnerView['kind'] = 'model',
): RunnerView {
  const identity = { id: version, endpoint: 'x', failureDomain: 'a', service: 'quotes' };
  return new RunnerTracker({ ...identity, version, kind }, { prefillRate, networkMs: 1 }).view(0);
}

function expectedMs(speeds: ReferenceSpeeds, runner: RunnerView, serving: RunnerView): number {
  const estimate = estimateFirstToken(runner, request);
  return speeds.expectedMs({ runner, request, estimate, serving: [serving] });
}

test('a slow new version is measured against the speeds of the serving version', (t) => {
  const speeds = new ReferenceSpeeds();
  const serving = viewOf('v1', 8000);
  const slowVersion = viewOf('v2', 800);
  t.is(estimateFirstToken(slowVersion, request).totalMs, 1001);
  t.is(expectedMs(speeds, slowVersion, serving), 101);
  t.is(expectedMs(speeds, serving, serving), 101);
});

test('reference speeds are fixed at the start of a rollout until it ends', (t) => {
  const speeds = new ReferenceSpeeds();
  t.is(expectedMs(speeds, viewOf('v2', 800), viewOf('v1', 8000)), 101);
  t.is(expectedMs(speeds, viewOf('v2', 800), viewOf('v1', 4000)), 101);
  speeds.forget('quotes');
  t.is(expectedMs(speeds, viewOf('v2', 800), viewOf('v1', 4000)), 201);
});

test('the expected time of an operation is the service time of the serving version', (t) => {
  const runner = viewOf('v2', 8000, 'application');
  const serving = { ...viewOf('v1', 8000, 'application'), serviceTimeMs: 30 };
  t.is(expectedMs(new ReferenceSpeeds(), runner, serving), 31);
});

test('without a runner of the serving version the estimate is used unchanged', (t) => {
  const runner = viewOf('v2', 800);
  const estimate = estimateFirstToken(runner, request);
  const ms = new ReferenceSpeeds().expectedMs({ runner, request, estimate, serving: [] });
  t.is(ms, estimate.totalMs);
});
