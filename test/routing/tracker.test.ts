import test from 'ava';
import { RunnerTracker, prefixBlocks } from '@ragwortrudder/routing';
import type { LoadReport, RunnerIdentity } from '@ragwortrudder/routing';

const IDENTITY: RunnerIdentity = {
  id: '1',
  endpoint: '10.0.0.1:80',
  failureDomain: 'a',
  service: 'quotes',
  version: 'v1',
  kind: 'model',
};
const IDLE: LoadReport = { running: 0, waiting: 0, leaving: false };

function send(tracker: RunnerTracker, id: string, promptTokens: number, now: number): void {
  tracker.recordSent({ id, promptTokens, blocks: [] }, now);
}

test('work sent after the report was measured counts as unreported', (t) => {
  const tracker = new RunnerTracker(IDENTITY);
  send(tracker, 'a', 100, 10);
  tracker.applyReport({ ...IDLE, running: 1 }, 20);
  send(tracker, 'b', 200, 30);
  const view = tracker.view(50);
  t.deepEqual(view.unreported, { requests: 1, prefillTokens: 200 });
  t.deepEqual(view.inFlight, { requests: 2, prefillTokens: 300 });
  t.is(view.loadAgeMs, 30);
  tracker.applyReport(IDLE, 15);
  t.is(tracker.view(50).load?.running, 1, 'a report older than the latest one is ignored');
});

test('rates and times are estimated from engine events', (t) => {
  const tracker = new RunnerTracker(IDENTITY);
  const blocks = prefixBlocks(Array.from({ length: 160 }, (_, i) => `w${i}`).join(' '));
  tracker.recordSent({ id: 'a', promptTokens: 160, blocks }, 0);
  tracker.recordStart('a', 0, 160, 10);
  tracker.recordFirstToken('a', 50);
  t.is(tracker.view(50).prefillRate, 4000);
  t.is(tracker.view(50).inFlight.prefillTokens, 0);
  tracker.recordTokenGap(33);
  t.is(tracker.view(50).decodeStepMs, 33);
  tracker.recordSent({ id: 'b', promptTokens: 160, blocks }, 60);
  t.is(tracker.view(60).inFlight.prefillTokens, 0);
  tracker.recordStart('b', 0, 160, 61);
  t.true(tracker.cache.confidence < 1);
});

test('a fast failure does not lower the estimated service time', (t) => {
  const tracker = new RunnerTracker(IDENTITY, { serviceTimeMs: 40 });
  send(tracker, 'a', 0, 0);
  tracker.recordEnd('a', false, 1);
  t.is(tracker.view(1).serviceTimeMs, 40);
  send(tracker, 'b', 0, 10);
  tracker.recordEnd('b', true, 70);
  t.is(tracker.view(70).serviceTimeMs, 60);
  t.deepEqual(tracker.requests, []);
});

test('a leaving runner does not become ready again', (t) => {
  const tracker = new RunnerTracker(IDENTITY);
  tracker.setState('ready');
  tracker.applyReport({ ...IDLE, leaving: true }, 1);
  tracker.setState('ready');
  t.true(tracker.view(2).leaving);
  tracker.setState('gone');
  tracker.setState('ready');
  t.is(tracker.view(3).state, 'gone');
});
