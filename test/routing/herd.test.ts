import test from 'ava';
import { simulateApplications } from './simulate-applications.ts';

const SEED = 31;

for (const reportMs of [100, 500, 2000]) {
  test(`no herding on a runner that appears idle, reports every ${reportMs} ms`, (t) => {
    const two = simulateApplications('two-choices', reportMs, SEED);
    const least = simulateApplications('least-loaded', reportMs, SEED);
    const turn = simulateApplications('round-robin', reportMs, SEED);
    t.log({ two, least, turn });
    t.true(two.peak < least.peak);
    t.true(two.p99Ms <= least.p99Ms);
    t.true(two.p99Ms <= 1.1 * turn.p99Ms);
  });

  test(`a slow runner receives fewer requests, reports every ${reportMs} ms`, (t) => {
    const two = simulateApplications('two-choices', reportMs, SEED, 2.5);
    const least = simulateApplications('least-loaded', reportMs, SEED, 2.5);
    const turn = simulateApplications('round-robin', reportMs, SEED, 2.5);
    t.log({ two, least, turn });
    t.true(two.p99Ms < 0.5 * turn.p99Ms);
    t.true(two.p99Ms <= 1.1 * least.p99Ms);
  });
}
