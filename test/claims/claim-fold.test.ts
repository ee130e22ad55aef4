import test from 'ava';
import { InvalidInput } from '@ragwortrudder/core';
import { claimFold, decideClaim, findClaim } from '@ragwortrudder/claims';
import type { ClaimEntry, ClaimQuery, ClaimState } from '@ragwortrudder/claims';
import { FakeLog } from './fake-log.ts';

const A = { node: 'a', incarnation: 1 };
const B = { node: 'b', incarnation: 1 };
const SUBJECT = { tenant: 'novak', key: 'reorder-1' };
const CLAIM_A = {
  type: 'claim',
  ...SUBJECT,
  ...A,
  requestDigest: 'd1',
  service: 'orders',
} as const;
const CLAIM_B = { ...CLAIM_A, ...B };
const FIRST = { ...SUBJECT, attempt: 0 };
const SENDING_A = { type: 'sending', ...FIRST, ...A } as const;
const SENDING_B = { type: 'sending', ...FIRST, ...B } as const;
const TAKEOVER = { type: 'takeover', ...FIRST, from: A, to: B } as const;
const NOT_RUN_A = { type: 'outcome', ...FIRST, ...A, word: 'not-run' } as const;
const COMPLETED_A = { type: 'outcome', ...FIRST, ...A, word: 'completed', result: 7 } as const;
const UNKNOWN_B = { type: 'outcome', ...FIRST, ...B, word: 'unknown' } as const;

function fold(...bodies: readonly ClaimEntry[]): ClaimState {
  const log = new FakeLog();
  for (const body of bodies) log.push(body);
  const claims = claimFold();
  return log.entries.reduce((state, entry) => claims.apply(state, entry), claims.initial);
}

function record(...bodies: readonly ClaimEntry[]) {
  return findClaim(fold(...bodies), SUBJECT.tenant, SUBJECT.key);
}

function decide(state: ClaimState, changes: Partial<ClaimQuery> = {}) {
  return decideClaim(state, {
    self: A,
    ...SUBJECT,
    requestDigest: 'd1',
    isGone: () => false,
    isStarted: () => false,
    logAvailable: true,
    retryAfterMs: 500,
    ...changes,
  });
}

test('the first claim wins and a second has no effect', (t) => {
  t.deepEqual(record(CLAIM_A, CLAIM_B)?.owner, A);
  t.deepEqual(record(CLAIM_B, CLAIM_A)?.owner, B);
});

test('a takeover is effective only before `sending` and only from the current owner', (t) => {
  t.deepEqual(record(CLAIM_A, TAKEOVER)?.owner, B);
  t.deepEqual(record(CLAIM_A, SENDING_A, TAKEOVER)?.owner, A);
  t.deepEqual(record(CLAIM_B, TAKEOVER)?.owner, B);
  t.is(record(CLAIM_A, TAKEOVER, SENDING_A)?.phase, 'claimed');
  t.is(record(CLAIM_A, TAKEOVER, SENDING_B)?.phase, 'sending');
});

test('an entry of an earlier attempt has no effect', (t) => {
  const again = [CLAIM_A, SENDING_A, NOT_RUN_A, CLAIM_A] as const;
  t.is(record(...again)?.attempt, 3 * 1024);
  t.is(record(...again, SENDING_A)?.phase, 'claimed');
  t.is(record(...again, COMPLETED_A)?.phase, 'claimed');
});

test('only the owner can report an outcome, and the first one is final', (t) => {
  t.is(record(CLAIM_A, SENDING_A, { ...COMPLETED_A, ...B })?.phase, 'sending');
  t.is(record(CLAIM_A, COMPLETED_A)?.phase, 'claimed');
  t.is(record(CLAIM_A, SENDING_A, COMPLETED_A, NOT_RUN_A)?.phase, 'completed');
  t.is(record(CLAIM_A, SENDING_A, NOT_RUN_A, COMPLETED_A)?.phase, 'not-run');
});

test('`unknown` can be replaced by the owner’s proof that the request ran, never by `not-run`', (t) => {
  t.is(record(CLAIM_A, UNKNOWN_B)?.phase, 'claimed');
  t.is(record(CLAIM_A, SENDING_A, UNKNOWN_B)?.phase, 'unknown');
  t.is(record(CLAIM_A, SENDING_A, UNKNOWN_B, NOT_RUN_A)?.phase, 'unknown');
  t.is(record(CLAIM_A, SENDING_A, UNKNOWN_B, COMPLETED_A)?.phase, 'completed');
  t.is(record(CLAIM_A, SENDING_A, UNKNOWN_B, CLAIM_B)?.phase, 'unknown');
});

test('an expired claim and malformed entries have no effect', (t) => {
  t.is(record({ ...CLAIM_A, validUntil: -1 }), undefined);
  const claims = claimFold();
  const entry = { position: 0, offset: 0, id: 'x', time: 0, body: { type: 'claim', key: 1 } };
  t.deepEqual(claims.apply(claims.initial, entry), claims.initial);
});

test('a state restored from a JSON snapshot equals the original state', (t) => {
  const state = fold(CLAIM_A, SENDING_A, COMPLETED_A);
  const { snapshotter } = claimFold();
  const restored = snapshotter.restore(JSON.parse(JSON.stringify(snapshotter.serialize(state))));
  t.deepEqual(restored, state);
  t.throws(() => snapshotter.restore({ shards: [] }), { instanceOf: InvalidInput });
  t.deepEqual(decide(restored), { kind: 'answer', word: 'completed', result: 7 });
});

test('records expire after their retention in log time, and their memory is released', (t) => {
  const claims = claimFold({ retentionMs: 1_000 });
  let state = claims.initial;
  for (let offset = 0; offset < 20_000; offset += 1) {
    const body = { ...CLAIM_A, key: `key-${offset}` };
    state = claims.apply(state, {
      position: offset * 1024,
      offset,
      id: '',
      time: offset * 10,
      body,
    });
  }
  t.is(findClaim(state, 'novak', 'key-100'), undefined);
  t.is(findClaim(state, 'novak', 'key-19950')?.phase, 'claimed');
  const held = JSON.stringify(state).split('"changedAtMs"').length;
  t.true(held < 2_000, `${held} records held`);
});

test('the decision proceeds through claim, sending, send and answer', (t) => {
  t.deepEqual(decide(fold()), { kind: 'run', step: 'claim' });
  t.deepEqual(decide(fold(CLAIM_A)), { kind: 'run', step: 'sending', attempt: 0 });
  t.deepEqual(decide(fold(CLAIM_A, SENDING_A)), { kind: 'run', step: 'send', attempt: 0 });
  const started = { isStarted: () => true };
  t.is(decide(fold(CLAIM_A, SENDING_A), started).kind, 'wait');
  t.is(decide(fold(CLAIM_A, SENDING_A, COMPLETED_A)).kind, 'answer');
});

test('another node waits for a live owner, takes over before `sending`, and otherwise returns `unknown`', (t) => {
  const gone = { self: B, isGone: () => true };
  t.is(decide(fold(CLAIM_A), { self: B }).kind, 'wait');
  t.is(decide(fold(CLAIM_A, SENDING_A), { self: B }).kind, 'wait');
  t.deepEqual(decide(fold(CLAIM_A), gone), { kind: 'run', step: 'takeover', attempt: 0, from: A });
  t.deepEqual(decide(fold(CLAIM_A, SENDING_A), gone), { kind: 'unknown', owner: A });
});

test('a different request under the same key is refused in every phase', (t) => {
  const other = { requestDigest: 'd2' };
  const phases = [[CLAIM_A], [CLAIM_A, SENDING_A], [CLAIM_A, SENDING_A, NOT_RUN_A]] as const;
  for (const bodies of phases) {
    const decision = decide(fold(...bodies), other);
    t.deepEqual(decision, { kind: 'refuse', reason: 'key-reused', notRun: true });
  }
});

test('without the log, no new request runs, and known outcomes are still answered', (t) => {
  const down = { logAvailable: false };
  const refused = {
    kind: 'refuse',
    reason: 'log-unavailable',
    notRun: true,
    retryAfterMs: 500,
  } as const;
  t.deepEqual(decide(fold(), down), refused);
  t.deepEqual(decide(fold(CLAIM_A), down), refused);
  t.is(decide(fold(CLAIM_A, SENDING_A), down).kind, 'run');
  t.is(decide(fold(CLAIM_A, SENDING_A, COMPLETED_A), down).kind, 'answer');
});

test('a proved `not-run` is returned to its own request, and a later request may run', (t) => {
  const state = fold(CLAIM_A, SENDING_A, NOT_RUN_A);
  t.is(decide(state, { attempt: 0 }).kind, 'refuse');
  t.deepEqual(decide(state, { self: B }), { kind: 'run', step: 'claim' });
});
