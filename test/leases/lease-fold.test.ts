import test from 'ava';
import { InvalidInput } from '@ragwortrudder/core';
import { leaseFold } from '@ragwortrudder/leases';
import type { LeaseEntry, LeaseState } from '@ragwortrudder/leases';

const JOB = 'move/quotes';
const DURATION_MS = 1_000;
const ACQUIRE_A = { type: 'acquire', job: JOB, holder: 'a', durationMs: DURATION_MS } as const;
const ACQUIRE_B = { ...ACQUIRE_A, holder: 'b' };

type Timed = readonly [time: number, body: LeaseEntry];

function fold(...entries: readonly Timed[]): LeaseState {
  return entries.reduce<LeaseState>((state, [time, body], offset) => {
    const entry = { position: offset * 1024, offset, id: `e${offset}`, time, body };
    return leaseFold.apply(state, entry);
  }, leaseFold.initial);
}

test('the first acquire holds the lease until its end in log time', (t) => {
  t.is(fold([0, ACQUIRE_A], [999, ACQUIRE_B]).jobs[JOB]?.holder, 'a');
  const next = fold([0, ACQUIRE_A], [1_000, ACQUIRE_B]).jobs[JOB];
  t.is(next?.holder, 'b');
  t.is(next?.fence, 1024);
});

test('an entry time that goes backwards does not shorten a lease', (t) => {
  t.is(fold([5_000, ACQUIRE_A], [0, ACQUIRE_B], [5_999, ACQUIRE_B]).jobs[JOB]?.holder, 'a');
});

test('renew and release are effective only from the holder with its fencing token', (t) => {
  const renew = {
    type: 'renew',
    job: JOB,
    holder: 'a',
    fence: 0,
    durationMs: DURATION_MS,
  } as const;
  const release = { type: 'release', job: JOB, holder: 'a', fence: 0 } as const;
  t.is(fold([0, ACQUIRE_A], [500, renew]).jobs[JOB]?.endsAtMs, 1_500);
  t.is(fold([0, ACQUIRE_A], [500, { ...renew, holder: 'b' }]).jobs[JOB]?.endsAtMs, 1_000);
  t.is(fold([0, ACQUIRE_A], [500, { ...renew, fence: 7 }]).jobs[JOB]?.endsAtMs, 1_000);
  t.is(fold([0, ACQUIRE_A], [1_000, renew]).jobs[JOB]?.endsAtMs, 1_000);
  t.is(fold([0, ACQUIRE_A], [10, release], [20, ACQUIRE_B]).jobs[JOB]?.holder, 'b');
  const stale = fold([0, ACQUIRE_A], [1_000, ACQUIRE_B], [1_100, release]);
  t.false(stale.jobs[JOB]?.released);
});

test('invalid snapshots are rejected and malformed entries are ignored', (t) => {
  const state = fold([0, ACQUIRE_A]);
  t.deepEqual(leaseFold.snapshotter.restore(JSON.parse(JSON.stringify(state))), state);
  t.throws(() => leaseFold.snapshotter.restore({ jobs: 1 }), { instanceOf: InvalidInput });
  const entry = { position: 1024, offset: 1, id: 'x', time: 3, body: { type: 'acquire' } };
  t.deepEqual(leaseFold.apply(state, entry).jobs, state.jobs);
});

test('a lease lists the fencing tokens of earlier leases of its job, newest first', (t) => {
  const acquires = [0, 1, 2, 3, 4, 5].map((index): Timed => [
    index * DURATION_MS,
    index % 2 === 0 ? ACQUIRE_A : ACQUIRE_B,
  ]);
  t.deepEqual(fold(...acquires.slice(0, 1)).jobs[JOB]?.earlierFences, []);
  t.deepEqual(fold(...acquires).jobs[JOB]?.earlierFences, [4096, 3072, 2048, 1024]);
});
