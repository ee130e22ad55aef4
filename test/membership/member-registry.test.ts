import test from 'ava';
import fc from 'fast-check';
import { ManualClock } from '@ragwortrudder/core';
import type { Member } from '@ragwortrudder/membership';
import { MemberRegistry } from '../../packages/membership/src/utils/member-registry.ts';
import { supersedes } from '../../packages/membership/src/utils/supersedes.ts';

const memberUpdate: fc.Arbitrary<Member> = fc
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

test('updates about a node are totally ordered', (t) => {
  fc.assert(
    fc.property(memberUpdate, memberUpdate, (a, b) => {
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

test('the order of updates does not matter, and a gone incarnation never becomes present', (t) => {
  fc.assert(
    fc.property(fc.array(memberUpdate, { minLength: 1, maxLength: 8 }), (updates) => {
      const forward = new MemberRegistry(new ManualClock());
      const gone = new Set<number>();
      for (const item of updates) {
        forward.apply(item);
        for (const number of gone) t.true(forward.isGone({ nodeId: 'a', number }));
        for (const number of [0, 1, 2]) {
          if (forward.isGone({ nodeId: 'a', number })) gone.add(number);
        }
      }
      const backward = new MemberRegistry(new ManualClock());
      for (const item of [...updates].reverse()) backward.apply(item);
      for (const number of [0, 1, 2]) {
        t.is(forward.isGone({ nodeId: 'a', number }), backward.isGone({ nodeId: 'a', number }));
      }
    }),
    { seed: 13, numRuns: 500 },
  );
});
