import test from 'ava';
import { RunnerRests } from '@ragwortrudder/admission';
import { ManualClock } from '@ragwortrudder/core';

test('a longer rest replaces a shorter one, never the reverse', (t) => {
  const clock = new ManualClock();
  const rests = new RunnerRests(clock);
  t.true(rests.record('r 1', 1_000));
  t.false(rests.record('r 1', 3_000));
  rests.record('r 1', 500);
  t.is(rests.remainingMs('r 1'), 3_000);
  clock.advance(2_900);
  t.false(rests.mayTake('r 1', 0));
  t.true(rests.mayTake('r 2', 0), 'another boot');
  rests.prune(new Set());
  t.is(rests.remainingMs('r 1'), 100, 'a rest outlives a list without its runner');
});

test('after a rest a runner gets one request at first and more with each that it takes', (t) => {
  const clock = new ManualClock();
  const rests = new RunnerRests(clock);
  rests.record('r 1', 1_000);
  rests.recordTaken('r 1');
  clock.advance(1_000);
  t.true(rests.mayTake('r 1', 0));
  t.false(rests.mayTake('r 1', 1));
  let taken = 0;
  while (!rests.isEmpty) {
    rests.recordTaken('r 1');
    taken += 1;
  }
  t.true(taken > 5 && taken < 20, `${taken} requests until it has its usual share`);
  t.true(rests.record('r 1', 1_000), 'it may rest again');
  t.false(rests.mayTake('r 1', 0));
});

test('a rest of no time is none', (t) => {
  const rests = new RunnerRests(new ManualClock());
  for (const forMs of [0, -3_000]) t.false(rests.record('r 1', forMs));
  t.true(rests.isEmpty);
});
