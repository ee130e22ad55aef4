import test from 'ava';
import { findStarved } from '@ragwortrudder/soak';
import type { FaultSpan, ObservedAnswer } from '@ragwortrudder/soak';

interface Case {
  readonly answer?: Partial<ObservedAnswer>;
  readonly runners?: readonly string[];
  readonly faults: readonly Partial<FaultSpan>[];
}

const SENT_AT = 30_000;
const ENDLESS = { kind: 'runner-endless', runner: 'r1' } as const;
const LATE = { at: SENT_AT + 4_100 };

function promisesBroken({ answer = {}, runners = ['r2'], faults }: Case): readonly string[] {
  const request = {
    ...{ id: 'a', kind: 'read' as const, node: 'n1', team: 't', body: '', events: 0, at: SENT_AT },
  };
  const observed = {
    ...{ id: 'a', status: 200, signature: 'r2.a', body: '', isWhole: true, at: SENT_AT + 1_000 },
    ...answer,
  };
  const spans = faults.map((fault) => ({
    ...{ ...ENDLESS, node: undefined, at: SENT_AT - 100, until: SENT_AT + 5_000 },
    ...fault,
  }));
  return findStarved([{ request, answer: observed, runners }], spans).map(({ promise }) => promise);
}

test('a request beside bytes without end that is refused, given up, cut off or late is a violation', (t) => {
  for (const fault of [ENDLESS, { kind: 'caller-endless' }, { kind: 'store-endless' }] as const) {
    const faults = [fault, { kind: 'configure' as const }];
    for (const answer of [{ status: 503 }, { status: undefined }, { isWhole: false }, LATE]) {
      t.deepEqual(promisesBroken({ answer, faults }), ['sound-beside']);
    }
    t.deepEqual(promisesBroken({ faults }), []);
  }
});

test('a request that its own runner does not answer is no violation, nor one at another time', (t) => {
  t.deepEqual(promisesBroken({ answer: LATE, runners: ['r2', 'r1'], faults: [{}] }), []);
  const ended = { at: SENT_AT - 5_000, until: SENT_AT - 1 };
  t.deepEqual(promisesBroken({ answer: LATE, faults: [ended] }), []);
  const begins = { at: SENT_AT + 5_000, until: SENT_AT + 9_000 };
  t.deepEqual(promisesBroken({ answer: LATE, faults: [begins] }), []);
});

test('a request that crosses the close of its connection unread is no violation', (t) => {
  const broken = (afterMs: number, runners: readonly string[]): number =>
    promisesBroken({
      ...{ answer: { status: undefined, isWhole: false, at: SENT_AT + afterMs }, runners },
      faults: [{}],
    }).length;
  t.is(broken(200, []), 0);
  t.is(broken(201, []), 1);
  t.is(broken(200, ['r2']), 1);
});

test('other faults excuse a request for a time, a stop of its node for longer', (t) => {
  const crash = { kind: 'runner-crash' as const, at: SENT_AT - 9_000 };
  const killed = { kind: 'node-kill' as const, at: SENT_AT - 9_000 };
  const broken = (fault: Partial<FaultSpan>): number =>
    promisesBroken({ answer: LATE, faults: [{}, fault] }).length;
  t.is(broken({ ...crash, until: SENT_AT - 2_900 }), 0);
  t.is(broken({ ...crash, until: SENT_AT - 3_100 }), 1);
  t.is(broken({ ...killed, until: SENT_AT - 9_000 }), 0);
  t.is(broken({ ...killed, at: SENT_AT - 14_100, until: SENT_AT - 14_100 }), 1);
  t.is(broken({ kind: 'runners-endless' }), 0);
});
