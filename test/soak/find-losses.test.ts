import test from 'ava';
import { findLosses } from '@ragwortrudder/soak';
import type { FaultSpan, ObservedAnswer, RequestKind } from '@ragwortrudder/soak';

interface Case {
  readonly kind?: RequestKind;
  readonly answer: Partial<ObservedAnswer>;
  readonly hasRun?: boolean;
  readonly isLogged?: boolean;
  readonly isSlow?: boolean;
  readonly faults?: readonly Partial<FaultSpan>[];
}

const SENT_AT = 10_000;

function promisesBroken({
  kind = 'read',
  answer,
  hasRun = true,
  isLogged = true,
  isSlow = false,
  faults = [],
}: Case) {
  const request = {
    ...{ id: 'a', kind, node: 'n1', team: 't', body: '', events: 0, isSlow, at: SENT_AT },
  };
  const observed = {
    ...{ id: 'a', status: 200, signature: 'r1.a', body: '', isWhole: true, at: SENT_AT + 1_000 },
    ...answer,
  };
  const spans = faults.map((fault) => ({
    ...{ kind: 'runner-silent' as const, node: undefined, at: SENT_AT, until: SENT_AT + 500 },
    ...fault,
  }));
  return findLosses([{ request, answer: observed, hasRun, isLogged: () => isLogged }], spans).map(
    ({ promise }) => promise,
  );
}

test('a request that has run and ends without an answer is lost, beside a silence and a change', (t) => {
  const answer = { status: undefined, isWhole: false };
  const faults = [{}, { kind: 'configure-timeouts' as const }, { kind: 'node-stop' as const }];
  t.deepEqual(promisesBroken({ answer, faults }), ['lost-request']);
  t.deepEqual(promisesBroken({ answer, kind: 'order' }), ['lost-request']);
});

test('a request that crosses the close of its connection unread is not lost, one that waited is', (t) => {
  const answer = { status: undefined, isWhole: false, at: SENT_AT + 150 };
  t.deepEqual(promisesBroken({ answer, hasRun: false }), []);
  t.deepEqual(promisesBroken({ answer, hasRun: true }), ['lost-request']);
  const later = { ...answer, at: SENT_AT + 250 };
  t.deepEqual(promisesBroken({ answer: later, hasRun: false }), ['lost-request']);
  const stop = { answer: later, hasRun: false, faults: [{ kind: 'roll-stop' as const }] };
  t.deepEqual(promisesBroken({ ...stop, isLogged: true }), ['lost-request']);
  t.deepEqual(promisesBroken({ ...stop, isLogged: false }), []);
  t.deepEqual(promisesBroken({ ...stop, isLogged: false, faults: [{}] }), ['lost-request']);
  const refused = { ...later, error: 'ECONNREFUSED' };
  t.deepEqual(promisesBroken({ answer: refused, hasRun: false }), []);
  t.deepEqual(promisesBroken({ answer: { ...later, error: 'ECONNRESET' } }), ['lost-request']);
});

// Guards against reports of requests that nobody read at the end of a node which stopped for long.
test('a node stops until a second after its grace period, and only what it has read is lost', (t) => {
  const answer = { status: undefined, isWhole: false, error: 'ECONNRESET', at: SENT_AT + 250 };
  const stoppedAgo = (ms: number, isLogged: boolean, hasRun = false): readonly string[] => {
    const fault = { kind: 'node-stop' as const, at: SENT_AT - ms, until: SENT_AT - ms };
    return promisesBroken({ answer, hasRun, isLogged, faults: [fault] });
  };
  t.deepEqual(stoppedAgo(8_900, false), []);
  t.deepEqual(stoppedAgo(8_900, true), ['lost-request']);
  t.deepEqual(stoppedAgo(8_900, false, true), ['lost-request']);
  t.deepEqual(stoppedAgo(9_100, false), ['lost-request']);
});

test('bytes without end of callers or the store take no request from sound runners', (t) => {
  const answer = { status: undefined, isWhole: false };
  for (const kind of ['caller-endless', 'caller-slow-body', 'store-endless'] as const) {
    t.deepEqual(promisesBroken({ answer, faults: [{ kind }] }), ['lost-request'], kind);
  }
  for (const kind of ['runner-endless', 'runners-endless'] as const) {
    t.deepEqual(promisesBroken({ answer, faults: [{ kind }] }), [], kind);
  }
});

// Guards against bodies that a stopping node drops half received, without a line in its log.
test('a body that was arriving for a second when its node stopped is lost', (t) => {
  const lostAfter = (ms: number, isReused: boolean, isSlow = true): readonly string[] => {
    const answer = { status: undefined, isWhole: false, isReused, at: SENT_AT + ms };
    const faults = [{ kind: 'node-stop' as const }];
    return promisesBroken({ answer, hasRun: false, isLogged: false, isSlow, faults });
  };
  t.deepEqual(lostAfter(1_100, true), ['lost-request']);
  t.deepEqual(lostAfter(1_000, true), []);
  t.deepEqual(lostAfter(1_100, false), []);
  t.deepEqual(lostAfter(1_100, true, false), []);
});

test('a response that begins and is cut off is a violation of its own', (t) => {
  t.deepEqual(promisesBroken({ kind: 'ask', answer: { isWhole: false } }), ['cut-response']);
  t.deepEqual(promisesBroken({ kind: 'draft', answer: { isWhole: false } }), ['cut-response']);
});

test('a repeatable request that is given up while runners are sound is a violation', (t) => {
  for (const status of [500, 502, 504]) {
    t.deepEqual(promisesBroken({ kind: 'ask', answer: { status } }), ['given-up-request']);
    t.deepEqual(promisesBroken({ kind: 'order', answer: { status } }), []);
  }
  t.deepEqual(promisesBroken({ kind: 'ask', answer: { status: 503 } }), []);
});

test('faults of runners and of its node excuse a request for a time, those of other nodes do not', (t) => {
  const answer = { status: 502 };
  const crash = { kind: 'runner-crash' as const };
  t.deepEqual(promisesBroken({ answer, faults: [crash] }), []);
  const ended = { at: SENT_AT - 5_000, until: SENT_AT - 2_900 };
  t.deepEqual(promisesBroken({ answer, faults: [{ ...crash, ...ended }] }), []);
  const longAgo = { ...crash, at: SENT_AT - 5_000, until: SENT_AT - 3_100 };
  t.deepEqual(promisesBroken({ answer, faults: [longAgo] }), ['given-up-request']);
  const cut = { kind: 'links-cut' as const };
  t.deepEqual(promisesBroken({ answer, faults: [{ ...cut, node: 'n1' }] }), []);
  t.deepEqual(promisesBroken({ answer, faults: [{ ...cut, node: 'n2' }] }), ['given-up-request']);
});

// Guards against requests without an answer that pass because their node had lost its links to runners.
test('a node that has lost its links may give requests up, and leaves none without an answer', (t) => {
  const lost = { status: undefined, isWhole: false };
  for (const kind of ['links-cut', 'links-dark', 'links-refuse-new', 'links-most-cut'] as const) {
    const faults = [{ kind, node: 'n1' }, { kind: 'configure-series' as const }];
    t.deepEqual(promisesBroken({ answer: lost, faults }), ['lost-request'], kind);
    t.deepEqual(promisesBroken({ answer: { status: 502 }, faults }), [], kind);
    t.deepEqual(promisesBroken({ answer: { isWhole: false }, faults }), [], kind);
    const killed = [...faults, { kind: 'node-kill' as const }];
    t.deepEqual(promisesBroken({ answer: lost, faults: killed }), [], kind);
  }
});

test('a request that has used up its time may end, beside a change after seven tenths of it', (t) => {
  const answer = { status: 504, at: SENT_AT + 2_500 };
  t.deepEqual(promisesBroken({ answer }), ['given-up-request']);
  t.deepEqual(promisesBroken({ answer, faults: [{ kind: 'configure-idle' }] }), []);
  t.deepEqual(promisesBroken({ answer: { ...answer, at: SENT_AT + 3_000 } }), []);
});
