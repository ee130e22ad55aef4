import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import fc from 'fast-check';
import { PeriodicTask } from '@ragwortrudder/core';
import { pauseBeforeRun } from '../../packages/core/src/utils/pause-before-run.ts';

const PERIOD_MS = 5;

// Guards against a wake-up of the process for each of its tasks (SHORT).
test('runs begin at multiples of the period, at least half of it after the run before', (t) => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 10_000 }),
      fc.double({ min: 0, max: 1e7, noNaN: true }),
      (periodMs, now) => {
        const pauseMs = pauseBeforeRun({ now, periodMs });
        const periods = (now + pauseMs) / periodMs;
        return (
          Math.abs(periods - Math.round(periods)) < 1e-6 &&
          pauseMs >= 0.5 * periodMs &&
          pauseMs < 1.5 * periodMs
        );
      },
    ),
    { numRuns: 5_000, seed: 3 },
  );
  t.pass();
});

test('a task runs again after a run that failed, and never beside itself', async (t) => {
  const failures: unknown[] = [];
  let running = 0;
  let runs = 0;
  let reachFourRuns: () => void = () => undefined;
  const fourRuns = new Promise<void>((resolve) => {
    reachFourRuns = resolve;
  });
  const task = new PeriodicTask({
    periodMs: PERIOD_MS,
    run: async () => {
      running += 1;
      t.is(running, 1);
      await sleep(2 * PERIOD_MS);
      running -= 1;
      runs += 1;
      if (runs === 4) reachFourRuns();
      if (runs === 1) throw new RangeError('first run');
    },
    onFailure: (error) => failures.push(error),
  });
  task.start();
  task.start();
  await fourRuns;
  await task.close();
  t.is(failures.length, 1);
});

test('a closed task ends its run and begins no other', async (t) => {
  let begun = 0;
  let ended = 0;
  const task = new PeriodicTask({
    periodMs: PERIOD_MS,
    run: async () => {
      begun += 1;
      await sleep(4 * PERIOD_MS);
      ended += 1;
    },
    onFailure: () => undefined,
  });
  task.start();
  await sleep(PERIOD_MS);
  await task.close();
  t.is(ended, begun);
  await sleep(4 * PERIOD_MS);
  t.is(begun, ended);
  t.is(begun, 1);
});
