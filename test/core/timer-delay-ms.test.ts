import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import fc from 'fast-check';
import { timerDelayMs } from '@ragwortrudder/core';

const SEED = 32;
const MAX_TIMER_MS = 2 ** 31 - 1;

// Guards against: a delay beyond what a timer can wait fired after a millisecond.
test('a delay is one that a timer can wait, also as a sum of two and as a difference of times', (t) => {
  fc.assert(
    fc.property(
      fc.double(),
      fc.double(),
      fc.double({ min: 0, max: 1e12, noNaN: true }),
      (a, b, now) => {
        const [first, second] = [timerDelayMs(a), timerDelayMs(b)];
        t.true(first >= 0 && now + first - now <= MAX_TIMER_MS);
        t.true(first + second <= MAX_TIMER_MS);
        if (a > 0 && a <= 1e9) t.is(first, a);
      },
    ),
    { seed: SEED, numRuns: 1_000 },
  );
});

test('a timer with such a delay does not fire at once', async (t) => {
  for (const ms of [1e12, 2 ** 31, Infinity, Number.NaN]) {
    const timer = setTimeout(() => {
      t.fail(`fired at once: ${ms}`);
    }, timerDelayMs(ms));
    await sleep(20);
    clearTimeout(timer);
  }
  t.pass();
});
