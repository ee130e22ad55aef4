import test from 'ava';
import fc from 'fast-check';
import { OutlierDetector } from '@ragwortrudder/routing';

const FAILED = { ok: false };
const RUNNERS = ['1', '2', '3', '4', '5', '6'];

function createDetector(): OutlierDetector {
  const detector = new OutlierDetector();
  detector.setRunners(RUNNERS);
  return detector;
}

function recordFailures(detector: OutlierDetector, id: string, now: number, times = 5): void {
  for (let i = 0; i < times; i += 1) detector.record(id, FAILED, now);
}

test('consecutive failures eject a runner; successful trials readmit it', (t) => {
  const detector = createDetector();
  recordFailures(detector, '1', 0);
  t.true(detector.isEjected('1', 0));
  t.is(detector.state('1', 4999), 'open');
  t.is(detector.state('1', 5000), 'half-open');
  for (let now = 5000; now < 6500; now += 500) {
    t.false(detector.isEjected('1', now));
    detector.recordSent('1', now);
    t.true(detector.isEjected('1', now + 100), 'one trial at a time');
    detector.record('1', { ok: true, latencyMs: 10 }, now + 50);
  }
  t.is(detector.state('1', 6500), 'closed');
});

test('each failed readmission doubles the ejection time, up to the maximum', (t) => {
  const detector = createDetector();
  recordFailures(detector, '1', 0);
  let now = 0;
  const times: number[] = [];
  for (let i = 0; i < 8; i += 1) {
    const openedAt = now;
    while (detector.state('1', now) === 'open') now += 1000;
    times.push(now - openedAt);
    detector.record('1', FAILED, now);
  }
  t.deepEqual(times.slice(0, 4), [5000, 10_000, 20_000, 40_000]);
  t.is(times.at(-1), 300_000);
});

test('a high failure rate or a latency far above the peer median ejects a runner', (t) => {
  const failingDetector = createDetector();
  for (let i = 0; i < 40; i += 1)
    failingDetector.record('1', { ok: i % 4 === 0, latencyMs: 10 }, 0);
  t.true(failingDetector.isEjected('1', 0));
  const slowDetector = createDetector();
  for (let i = 0; i < 20; i += 1) {
    for (const id of RUNNERS)
      slowDetector.record(id, { ok: true, latencyMs: id === '1' ? 100 : 20 }, 0);
  }
  t.deepEqual(slowDetector.ejected(0), ['1']);
});

test('at most a third of the runners is ejected at once, regardless of the failures', (t) => {
  const step = fc.record({
    id: fc.constantFrom(...RUNNERS),
    ok: fc.boolean(),
    waitMs: fc.nat(3000),
    times: fc.integer({ min: 1, max: 8 }),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const detector = createDetector();
      let now = 0;
      return steps.every(({ id, ok, waitMs, times }) => {
        now += waitMs;
        for (let i = 0; i < times; i += 1) detector.record(id, { ok, latencyMs: 10 }, now);
        return detector.ejected(now).length <= 2;
      });
    }),
    { seed: 9, numRuns: 200 },
  );
  t.pass();
});

test('the state of removed runners is discarded', (t) => {
  const detector = createDetector();
  recordFailures(detector, '1', 0);
  detector.setRunners(['2', '3', '4']);
  detector.setRunners(RUNNERS);
  t.false(detector.isEjected('1', 0));
});
