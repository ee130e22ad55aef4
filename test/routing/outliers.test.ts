import test from 'ava';
import fc from 'fast-check';
import { OutlierDetector } from '@ragwortrudder/routing';

const FAILED = { ok: false };
const RUNNERS = ['1', '2', '3', '4', '5', '6'];

function detectorOf(): OutlierDetector {
  const detector = new OutlierDetector();
  detector.setRunners(RUNNERS);
  return detector;
}

function fail(detector: OutlierDetector, id: string, now: number, times = 5): void {
  for (let i = 0; i < times; i += 1) detector.record(id, FAILED, now);
}

test('failures in a row set a runner aside; trials let it back in', (t) => {
  const detector = detectorOf();
  fail(detector, '1', 0);
  t.true(detector.isSetAside('1', 0));
  t.is(detector.state('1', 4999), 'open');
  t.is(detector.state('1', 5000), 'half-open');
  for (let now = 5000; now < 6500; now += 500) {
    t.false(detector.isSetAside('1', now));
    detector.sent('1', now);
    t.true(detector.isSetAside('1', now + 100), 'one trial at a time');
    detector.record('1', { ok: true, latencyMs: 10 }, now + 50);
  }
  t.is(detector.state('1', 6500), 'closed');
});

test('each failed return doubles the time aside, up to the greatest', (t) => {
  const detector = detectorOf();
  fail(detector, '1', 0);
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

test('a failure rate and slowness against the peers set a runner aside', (t) => {
  const rate = detectorOf();
  for (let i = 0; i < 40; i += 1) rate.record('1', { ok: i % 4 === 0, latencyMs: 10 }, 0);
  t.true(rate.isSetAside('1', 0));
  const slow = detectorOf();
  for (let i = 0; i < 20; i += 1) {
    for (const id of RUNNERS) slow.record(id, { ok: true, latencyMs: id === '1' ? 100 : 20 }, 0);
  }
  t.deepEqual(slow.aside(0), ['1']);
});

test('no more than a third is aside at once, whatever fails', (t) => {
  const step = fc.record({
    id: fc.constantFrom(...RUNNERS),
    ok: fc.boolean(),
    waitMs: fc.nat(3000),
    times: fc.integer({ min: 1, max: 8 }),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const detector = detectorOf();
      let now = 0;
      return steps.every(({ id, ok, waitMs, times }) => {
        now += waitMs;
        for (let i = 0; i < times; i += 1) detector.record(id, { ok, latencyMs: 10 }, now);
        return detector.aside(now).length <= 2;
      });
    }),
    { seed: 9, numRuns: 200 },
  );
  t.pass();
});

test('runners that are gone are forgotten', (t) => {
  const detector = detectorOf();
  fail(detector, '1', 0);
  detector.setRunners(['2', '3', '4']);
  detector.setRunners(RUNNERS);
  t.false(detector.isSetAside('1', 0));
});
