import test from 'ava';
import fc from 'fast-check';
import { ManualClock, SeededRandom } from '@ragwortrudder/core';
import {
  EvidenceRecorder,
  MoveBoard,
  allowanceOf,
  shareOf,
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

function board(clock: ManualClock, nodeId = 'a'): MoveBoard {
  const random = new SeededRandom(1);
  const result = new MoveBoard({ nodeId, clock, random, nodeIds: () => ['a', 'b'] });
  result.add(MOVE);
  return result;
}

test('the allowances of all nodes add up to the bound', (t) => {
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

test('the share never falls while the version is good, and is zero once it is marked', (t) => {
  let last = 0;
  for (let now = 0; now < 90_000; now += 500) {
    const { share, stage } = shareOf({ move: MOVE, verdict: GOOD, marks: [], now });
    t.true(share >= last);
    if (now < 20_000) t.is(stage, 0);
    last = share;
    const marks = [{ moveId: '1', nodeId: 'b', at: 1, reason: 'bad' }];
    t.is(shareOf({ move: MOVE, verdict: GOOD, marks, now }).share, 0);
  }
  t.is(shareOf({ move: MOVE, verdict: GOOD, marks: [], now: 90_000 }).due, 'done');
});

test('the first proof takes 2% of a busy service, and 20 requests at most', (t) => {
  const clock = new ManualClock();
  const boards = [board(clock, 'a'), board(clock, 'b')];
  let sent = 0;
  for (let request = 1; request <= 20_000; request += 1) {
    clock.advance(0.9);
    const target = boards[request % 2];
    if (target?.choose('s') === 'v2') {
      sent += 1;
      target.record(outcome('v2', 'success'));
    }
    if (request === 500) t.true(sent <= 0.04 * request, `${sent}`);
  }
  t.is(sent, 20);
});

test('a deadline that passes without evidence ends the move', (t) => {
  const verdict: Verdict = { state: 'unproved', reason: 'too few requests', tries: 3, failures: 0 };
  const plan = shareOf({ move: MOVE, verdict, marks: [], now: 100_000 });
  t.is(plan.due, 'undone');
  t.is(plan.share, 0);
});

test('a mark of another node stops the version at once, also when the mark comes before the ticket', (t) => {
  const clock = new ManualClock();
  const late = new MoveBoard({
    nodeId: 'b',
    clock,
    random: new SeededRandom(1),
    nodeIds: () => ['a', 'b'],
  });
  late.mergeMarks([{ moveId: '1', nodeId: 'a', at: 1, reason: 'bad' }]);
  late.add(MOVE);
  clock.advance(19_000);
  for (let i = 0; i < 200; i += 1) t.is(late.choose('s'), 'v1');
});

test('failures with a cause outside the version are not counted', (t) => {
  const clock = new ManualClock();
  const excused = board(clock);
  excused.look([evidenceOf('v2', 30, 0, 30), evidenceOf('v1', 100, 0)]);
  t.deepEqual(excused.marks, []);
  const failing = board(clock);
  failing.look([evidenceOf('v2', 30, 30), evidenceOf('v1', 100, 0)]);
  t.is(failing.marks.length, 1);
  t.is(failing.statuses[0]?.state, 'retreating');
});

test('failures that the old version shows as well are not held against the new one', (t) => {
  const shared = board(new ManualClock());
  shared.look([evidenceOf('v2', 30, 30), evidenceOf('v1', 100, 100)]);
  t.deepEqual(shared.marks, []);
});

test('a node that starts anew reaches the same judgement from the joined evidence', (t) => {
  const clock = new ManualClock();
  const joined = [evidenceOf('v2', 5, 12), evidenceOf('v1', 300, 2)];
  const first = board(clock);
  first.look(joined);
  const second = board(clock, 'b');
  second.look([sumEvidence(joined)]);
  t.deepEqual(second.statuses[0]?.plan, first.statuses[0]?.plan);
  t.is(second.statuses[0]?.plan.share, 0);
});

test('while the log is out the act is local and the word waits', (t) => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const scenario = { requestsPerSecond: 20, windowMs: 60_000, seed };
    const logOutage: readonly [number, number] = [0, 1.3];
    const bad = simulate({ kind: 'at once', ...scenario, logOutage });
    t.is(bad.word, 'undone');
    t.true(bad.wordAt >= 1.3);
    t.is(bad.afterMarks, 0);
    const good = simulate({ kind: 'good', ...scenario, logOutage });
    t.is(good.word, 'done', JSON.stringify(good));
  }
});

test('the first word stands, and a later ticket ends the move', (t) => {
  const first = board(new ManualClock());
  first.settle({ moveId: '1', word: 'undone', reason: 'x' });
  first.settle({ moveId: '1', word: 'done', reason: 'y' });
  t.is(first.statuses[0]?.state, 'undone');
  const second = board(new ManualClock());
  second.add({ ...MOVE, id: '2', toVersion: 'v3' });
  t.is(second.statuses[0]?.state, 'undone');
  t.is(second.statuses[1]?.state, 'waiting');
});
