import test from 'ava';
import fc from 'fast-check';
import { ManualClock, SeededRandom } from '@ragwortrudder/core';
import {
  EvidenceRecorder,
  MoveController,
  allowanceOf,
  planShare,
  sumEvidence,
} from '@ragwortrudder/moves';
import type { Evidence, Move, Outcome, Verdict } from '@ragwortrudder/moves';
import { simulate } from './simulation.ts';

const MOVE: Move = {
  id: '1',
  service: 's',
  fromVersion: 'v1',
  toVersion: 'v2',
  startedAt: 0,
  takeoverBy: 100_000,
};
const GOOD: Verdict = { state: 'good', reason: '', tries: 1000, failures: 0 };

function outcome(version: string, kind: Outcome['kind']): Outcome {
  return { service: 's', version, route: 'r', load: 0.1, kind, latencyRatio: 1 };
}

function evidenceOf(version: string, successes: number, failures: number, excused = 0): Evidence {
  const recorder = new EvidenceRecorder();
  for (let i = 0; i < successes; i += 1) recorder.record(outcome(version, 'success'));
  for (let i = 0; i < failures; i += 1) recorder.record(outcome(version, 'failure'));
  for (let i = 0; i < excused; i += 1) recorder.record(outcome(version, 'excused'));
  return recorder.evidenceOf(new Set(['s']));
}

function createController(clock: ManualClock, nodeId = 'a'): MoveController {
  const random = new SeededRandom(1);
  const result = new MoveController({ nodeId, clock, random, nodeIds: () => ['a', 'b'] });
  result.add(MOVE);
  return result;
}

test('the allowances of all nodes add up to the limit', (t) => {
  fc.assert(
    fc.property(fc.uniqueArray(fc.string({ minLength: 1 }), { minLength: 1 }), (nodeIds) => {
      const parts = nodeIds.map((nodeId) =>
        allowanceOf({ moveId: 'm', nodeId, nodeIds, maxRequests: 20 }),
      );
      t.is(
        parts.reduce((sum, part) => sum + part, 0),
        20,
      );
    }),
    { seed: 21, numRuns: 100 },
  );
});

test('the share never decreases while the version is good, and is zero once it is marked bad', (t) => {
  let last = 0;
  for (let now = 0; now < 90_000; now += 500) {
    const { share, stage } = planShare({ move: MOVE, verdict: GOOD, marks: [], now });
    t.true(share >= last);
    if (now < 20_000) t.is(stage, 0);
    last = share;
    const marks = [{ moveId: '1', nodeId: 'b', at: 1, reason: 'bad' }];
    t.is(planShare({ move: MOVE, verdict: GOOD, marks, now }).share, 0);
  }
  t.is(planShare({ move: MOVE, verdict: GOOD, marks: [], now: 90_000 }).due, 'done');
});

test('the first stage takes 2% of the traffic of a busy service, and at most 20 requests', (t) => {
  const clock = new ManualClock();
  const controllers = [createController(clock, 'a'), createController(clock, 'b')];
  let sent = 0;
  for (let request = 1; request <= 20_000; request += 1) {
    clock.advance(0.9);
    const target = controllers[request % 2];
    if (target?.chooseVersion('s') === 'v2') {
      sent += 1;
      target.recordOutcome(outcome('v2', 'success'));
    }
    if (request === 500) t.true(sent <= 0.04 * request, `${sent}`);
  }
  t.is(sent, 20);
});

test('a deadline that passes without enough evidence ends the move as undone', (t) => {
  const verdict: Verdict = { state: 'unproved', reason: 'too few requests', tries: 3, failures: 0 };
  const plan = planShare({ move: MOVE, verdict, marks: [], now: 100_000 });
  t.is(plan.due, 'undone');
  t.is(plan.share, 0);
});

test('a mark by another node stops the version at once, also if it arrives before the ticket', (t) => {
  const clock = new ManualClock();
  const controller = new MoveController({
    nodeId: 'b',
    clock,
    random: new SeededRandom(1),
    nodeIds: () => ['a', 'b'],
  });
  controller.mergeMarks([{ moveId: '1', nodeId: 'a', at: 1, reason: 'bad' }]);
  controller.add(MOVE);
  clock.advance(19_000);
  for (let i = 0; i < 200; i += 1) t.is(controller.chooseVersion('s'), 'v1');
});

test('failures that the version did not cause are not counted', (t) => {
  const clock = new ManualClock();
  const excused = createController(clock);
  excused.evaluate([evidenceOf('v2', 30, 0, 30), evidenceOf('v1', 100, 0)]);
  t.deepEqual(excused.marks, []);
  const failing = createController(clock);
  failing.evaluate([evidenceOf('v2', 30, 30), evidenceOf('v1', 100, 0)]);
  t.is(failing.marks.length, 1);
  t.is(failing.statuses[0]?.state, 'retreating');
});

test('failures that also occur on the old version do not count against the new one', (t) => {
  const shared = createController(new ManualClock());
  shared.evaluate([evidenceOf('v2', 30, 30), evidenceOf('v1', 100, 100)]);
  t.deepEqual(shared.marks, []);
});

test('a restarted node reaches the same verdict from the combined evidence', (t) => {
  const clock = new ManualClock();
  const combined = [evidenceOf('v2', 5, 12), evidenceOf('v1', 300, 2)];
  const first = createController(clock);
  first.evaluate(combined);
  const second = createController(clock, 'b');
  second.evaluate([sumEvidence(combined)]);
  t.deepEqual(second.statuses[0]?.plan, first.statuses[0]?.plan);
  t.is(second.statuses[0]?.plan.share, 0);
});

test('during a log outage nodes act locally and the decision stays pending', (t) => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const scenario = { requestsPerSecond: 20, windowMs: 60_000, seed };
    const logOutage: readonly [number, number] = [0, 1.3];
    const bad = simulate({ kind: 'at once', ...scenario, logOutage });
    t.is(bad.decision, 'undone');
    t.true(bad.decidedAt >= 1.3);
    t.is(bad.requestsAfterMarks, 0);
    const good = simulate({ kind: 'good', ...scenario, logOutage });
    t.is(good.decision, 'done', JSON.stringify(good));
  }
});

test('the first decision is effective, and a later ticket ends the move', (t) => {
  const first = createController(new ManualClock());
  first.applyDecision({ moveId: '1', word: 'undone', reason: 'x' });
  first.applyDecision({ moveId: '1', word: 'done', reason: 'y' });
  t.is(first.statuses[0]?.state, 'undone');
  const second = createController(new ManualClock());
  second.add({ ...MOVE, id: '2', toVersion: 'v3' });
  t.is(second.statuses[0]?.state, 'undone');
  t.is(second.statuses[1]?.state, 'waiting');
});
