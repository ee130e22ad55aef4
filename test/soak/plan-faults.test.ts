import test from 'ava';
import { SeededRandom } from '@ragwortrudder/core';
import { planFaults } from '@ragwortrudder/soak';

function plan(seed: number): ReturnType<typeof planFaults> {
  return planFaults({ lengthMs: 60_000, nodes: 3, runners: 4, random: new SeededRandom(seed) });
}

test('the same seed draws the same faults', (t) => {
  t.deepEqual(plan(7), plan(7));
  t.notDeepEqual(plan(7), plan(8));
});

test('all faults have ended by the time to recover, and some overlap', (t) => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const faults = plan(seed);
    t.true(faults.every(({ atMs, forMs }) => atMs + forMs <= 46_000));
    t.true(faults.some((fault, index) => fault.atMs < endOf(faults.slice(0, index))));
  }
});

function endOf(faults: ReturnType<typeof planFaults>): number {
  return Math.max(0, ...faults.map(({ atMs, forMs }) => atMs + forMs));
}
