import test from 'ava';
import fc from 'fast-check';
import { SharedQuota } from '@ragwortrudder/admission';
import { ManualClock } from '@ragwortrudder/core';

const LIMIT = { perSecond: 100, burst: 100 };

function createQuota(clock: ManualClock, share = 1): SharedQuota {
  const quota = new SharedQuota(clock);
  quota.setShare(share);
  quota.setLimits(new Map([['team', LIMIT]]));
  return quota;
}

test('a bucket admits its burst, then its rate', (t) => {
  const clock = new ManualClock();
  const quota = createQuota(clock);
  for (let index = 0; index < 10; index += 1) t.true(quota.tryTake('team', 10));
  t.false(quota.tryTake('team', 10));
  t.is(quota.waitMs('team', 10), 100);
  clock.advance(100);
  t.true(quota.tryTake('team', 10));
});

test('the usage of peers is deducted, and can overdraw the bucket', (t) => {
  const clock = new ManualClock();
  const quota = createQuota(clock);
  quota.recordPeerUsage('team', 150);
  t.false(quota.tryTake('team', 10));
  clock.advance(400);
  t.false(quota.tryTake('team', 10));
  clock.advance(200);
  t.true(quota.tryTake('team', 10));
});

test('pattern: hot team on nodes cut off from one another; all partitions together stay within the limit', (t) => {
  const clock = new ManualClock();
  const nodes = Array.from({ length: 4 }, () => createQuota(clock, 0.25));
  let admitted = 0;
  for (let step = 0; step < 80; step += 1) {
    clock.advance(100);
    for (const node of nodes) while (node.tryTake('team', 1)) admitted += 1;
  }
  t.true(admitted <= LIMIT.burst + LIMIT.perSecond * 8 + nodes.length);
  t.true(admitted >= LIMIT.perSecond * 8 * 0.9);
});

test('pattern: hot team with requests of very unequal size; small ones do not starve large ones', (t) => {
  const clock = new ManualClock();
  const quota = createQuota(clock);
  let large = 0;
  let small = 0;
  for (let step = 0; step < 400; step += 1) {
    clock.advance(50);
    if (quota.tryTake('team', 60)) large += 1;
    if (quota.tryTake('team', 4)) small += 1;
  }
  t.true(large >= small * 0.5, `${large} large, ${small} small`);
});

test('a lower limit applies immediately, and a removed limit no longer applies', (t) => {
  const clock = new ManualClock();
  const quota = createQuota(clock);
  quota.setLimits(new Map([['team', { perSecond: 10, burst: 10 }]]));
  t.true(quota.tryTake('team', 10));
  t.false(quota.tryTake('team', 10));
  quota.setLimits(new Map());
  t.true(quota.tryTake('team', 1_000));
});

test('property: over any sequence, admitted cost stays within burst, refill and one overdraft', (t) => {
  const step = fc.record({ waitMs: fc.nat(500), cost: fc.integer({ min: 1, max: 50 }) });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
      const clock = new ManualClock();
      const quota = createQuota(clock);
      let admitted = 0;
      let elapsedMs = 0;
      for (const { waitMs, cost } of steps) {
        clock.advance(waitMs);
        elapsedMs += waitMs;
        if (quota.tryTake('team', cost)) admitted += cost;
      }
      return admitted <= LIMIT.burst + (elapsedMs * LIMIT.perSecond) / 1_000 + 50;
    }),
    { seed: 41 },
  );
  t.pass();
});

test('the cost of a request that did not run is refunded', (t) => {
  const quota = createQuota(new ManualClock());
  t.true(quota.tryTake('team', 100));
  quota.refund('team', 100);
  t.true(quota.tryTake('team', 100));
  t.is(quota.taken.get('team'), 100);
});
