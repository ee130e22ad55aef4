import test from 'ava';
import { SeededRandom } from '@ragwortrudder/core';
import { simulateBaseline } from '../../packages/bench/src/experiments/version-moves-baseline.ts';
import { versionKinds } from '../../packages/bench/src/experiments/version-moves-kinds.ts';
import { planVersionCase } from '../../packages/bench/src/experiments/version-moves-plan.ts';

const DEADLINE_MS = 20_000;

function simulateOutcome(name: string, canaryShare: number, judgedAtMs: number) {
  const kind = versionKinds.find((one) => one.name === name) ?? versionKinds[0];
  if (!kind) throw new RangeError(name);
  const versionCase = {
    ...({ kind, traffic: 'busy', deadline: 'early', service: 's' } as const),
    ...{ deadlineMs: DEADLINE_MS, rate: 10 },
  };
  const planned = planVersionCase({
    ...{ versionCase, seed: 1, durationMs: DEADLINE_MS, tenant: 'novak' },
  });
  const random = new SeededRandom(1);
  const result = simulateBaseline({ versionCase, planned, random, canaryShare, judgedAtMs });
  return { ...result, planned: planned.length };
}

test('an immediate switch keeps a bad version, and all requests reach it', (t) => {
  const { isKept, reached, failed, planned } = simulateOutcome('fails', 1, 0);
  t.true(isKept);
  t.is(reached, planned);
  t.is(failed, planned);
});

test('a canary reverts a version that fails, and keeps one that is slow or good', (t) => {
  t.false(simulateOutcome('fails', 0.1, DEADLINE_MS / 2).isKept);
  t.true(simulateOutcome('slow x10', 0.1, DEADLINE_MS / 2).isKept);
  t.true(simulateOutcome('good', 0.1, DEADLINE_MS / 2).isKept);
});
