import test from 'ava';
import fc from 'fast-check';
import { ManualClock } from '@ragwortrudder/core';
import type { Member } from '@ragwortrudder/membership';
import { MemberTable } from '../../packages/membership/src/utils/member-table.ts';
import { supersedes } from '../../packages/membership/src/utils/supersedes.ts';

const claim: fc.Arbitrary<Member> = fc
  .record({
    incarnation: fc.nat(2),
    refutation: fc.nat(2),
    state: fc.constantFrom<Member['state']>('alive', 'suspect', 'left', 'dead'),
  })
  .map((fields) => ({
    nodeId: 'a',
    failureDomain: 'fd0',
    region: 'r',
    peerAddress: 'p',
    callerAddress: 'c',
    ...fields,
  }));

test('claims about a node are totally ordered', (t) => {
  fc.assert(
    fc.property(claim, claim, (a, b) => {
      const same = JSON.stringify(a) === JSON.stringify(b);
      t.is(supersedes(a, b) || supersedes(b, a), !same && !isSameRank(a, b));
      t.false(supersedes(a, b) && supersedes(b, a));
    }),
    { seed: 12, numRuns: 500 },
  );
});

function isSameRank(a: Member, b: Member): boolean {
  const key = (m: Member) => `${m.incarnation} ${m.state} ${m.refutation}`;
  return key(a) === key(b);
}

test('the order in which claims arrive does not matter, and gone never becomes present', (t) => {
  fc.assert(
    fc.property(fc.array(claim, { minLength: 1, maxLength: 8 }), (claims) => {
      const forward = new MemberTable(new ManualClock());
      const gone = new Set<number>();
      for (const item of claims) {
        forward.apply(item);
        for (const number of gone) t.true(forward.isGone({ nodeId: 'a', number }));
        for (const number of [0, 1, 2]) {
          if (forward.isGone({ nodeId: 'a', number })) gone.add(number);
        }
      }
      const backward = new MemberTable(new ManualClock());
      for (const item of [...claims].reverse()) backward.apply(item);
      for (const number of [0, 1, 2]) {
        t.is(forward.isGone({ nodeId: 'a', number }), backward.isGone({ nodeId: 'a', number }));
      }
    }),
    { seed: 13, numRuns: 500 },
  );
});
