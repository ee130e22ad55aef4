import test from 'ava';
import { SeededRandom } from '@ragwortrudder/core';
import { AppendPacer } from '@ragwortrudder/log';

test('does not delay appends while the log throttles none', (t) => {
  const pacer = new AppendPacer(new SeededRandom(1));
  pacer.accepted();
  t.is(pacer.delayMs(0), 0);
});

test('the interval grows with throttled appends up to a bound and shrinks to zero as appends are accepted', (t) => {
  const pacer = new AppendPacer(new SeededRandom(1));
  const intervals = Array.from({ length: 20 }, () => {
    const delay = pacer.throttled(100);
    t.true(delay >= 100 && delay <= 150);
    return pacer.intervalMs;
  });
  t.deepEqual(
    intervals,
    [...intervals].sort((a, b) => a - b),
  );
  t.is(pacer.intervalMs, 1_000);
  t.true(pacer.delayMs(0) >= 500);
  t.is(pacer.delayMs(1_500), 0);
  for (let count = 0; count < 1_000; count += 1) pacer.accepted();
  t.is(pacer.delayMs(0), 0);
});
