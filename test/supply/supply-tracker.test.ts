import test from 'ava';
import fc from 'fast-check';
import { ReclaimHistory, SupplyTracker, TokenBucket, planSupply } from '@ragwortrudder/supply';
import type { SupplyDemand, SupplyVm, VmPrice } from '@ragwortrudder/supply';
import { FakeCloud } from './fake-cloud.ts';
import type { CallOutcome } from './fake-cloud.ts';

const LABELS = { service: 'quotes' };
const UNITS = { small: 1 };
const STEP_MS = 700;
/** Forty of these steps outlast the maximum backoff after refusals. */
const CONVERGE_STEP_MS = 60_000;
const RETURN_AFTER_MS = 3000;
const UNLISTED_MS = 20_000;
const PRICES: readonly VmPrice[] = ['a', 'b', 'c'].flatMap((failureDomain) => [
  { failureDomain, machineClass: 'small', reclaimable: true, pricePerHour: 0.3 },
  { failureDomain, machineClass: 'small', reclaimable: false, pricePerHour: 1 },
]);

/** One supply job against a fake cloud. */
class SupplyJob {
  readonly tracker = new SupplyTracker({ returnAfterMs: RETURN_AFTER_MS, unlistedMs: UNLISTED_MS });
  readonly cloud = new FakeCloud();
  now = 0;
  current: readonly SupplyVm[] = [];

  runRound(units: number, outcome: CallOutcome, isListFresh: boolean, stepMs = STEP_MS): void {
    this.now += stepMs;
    if (isListFresh) this.cloud.refresh();
    this.current = this.tracker.current(this.cloud.listed, this.now);
    const demand: readonly SupplyDemand[] = [{ labels: LABELS, units, unitsByClass: UNITS }];
    const { refusals, nextSequence } = this.tracker;
    const options = { now: this.now, epoch: 'e', nextSequence };
    const actions = planSupply({
      demand,
      prices: PRICES,
      reclaimRates: [],
      refusals,
      current: this.current,
      options,
    });
    this.tracker.applyPlan(actions, this.now);
    for (const start of this.tracker.dueStarts(this.now)) {
      this.tracker.recordStartSent(start.requestId, this.now);
      const reply = this.cloud.start(start, outcome);
      this.tracker.recordStartReply(start.requestId, reply, this.now, this.now);
    }
    for (const { vmId } of this.tracker.dueStops(this.now)) {
      this.tracker.recordStopSent(vmId, this.now);
      if (this.cloud.stop(vmId, outcome)) this.tracker.recordStopConfirmed(vmId);
    }
  }
}

test('with lost replies, refusals, reclaims and a stale list, no VM is started twice or forgotten', (t) => {
  const step = fc.record({
    outcome: fc.constantFrom<CallOutcome>(
      'ok',
      'reply-lost',
      'request-lost',
      'refused',
      'throttled',
    ),
    isListFresh: fc.boolean(),
    units: fc.constantFrom(3, 3, 3, 6, 1),
    reclaimed: fc.option(fc.nat(20), { freq: 6 }),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const job = new SupplyJob();
      for (const { outcome, isListFresh, units, reclaimed } of steps) {
        if (reclaimed !== null) job.cloud.reclaim(reclaimed);
        job.runRound(units, outcome, isListFresh);
      }
      for (let i = 0; i < 40; i += 1) job.runRound(3, 'ok', true, CONVERGE_STEP_MS);
      const known = job.current.map(({ id }) => id).sort();
      const real = job.cloud.vms.map(({ id }) => id).sort();
      if (known.join() !== real.join())
        throw new Error(`known ${known.join()} real ${real.join()}`);
      const live = job.cloud.vms;
      const worst = Math.max(
        ...['a', 'b', 'c'].map(
          (domain) => live.filter((vm) => vm.reclaimable && vm.failureDomain === domain).length,
        ),
      );
      const remaining = live.length - worst;
      return remaining >= 3 && remaining <= 4;
    }),
    { seed: 19, numRuns: 400 },
  );
  t.pass();
});

test('lost replies do not change the number of started VMs', (t) => {
  const lossless = new SupplyJob();
  for (let i = 0; i < 20; i += 1) lossless.runRound(6, 'ok', true);
  fc.assert(
    fc.property(
      fc.array(fc.constantFrom<CallOutcome>('reply-lost', 'request-lost', 'ok'), { maxLength: 20 }),
      fc.boolean(),
      (outcomes, isListFresh) => {
        const job = new SupplyJob();
        for (const outcome of outcomes) job.runRound(6, outcome, isListFresh);
        for (let i = 0; i < 20; i += 1) job.runRound(6, 'ok', true);
        return job.cloud.started === lossless.cloud.started;
      },
    ),
    { seed: 23, numRuns: 200 },
  );
  t.pass();
});

test('a VM is returned only after it was continuously surplus for the whole delay', (t) => {
  const tracker = new SupplyTracker({ returnAfterMs: 1000 });
  const stop = { action: 'stop', vmId: 'v' } as const;
  tracker.applyPlan([stop], 0);
  tracker.applyPlan([], 500);
  tracker.applyPlan([stop], 900);
  tracker.applyPlan([stop], 1800);
  t.deepEqual(tracker.dueStops(1800), []);
  tracker.applyPlan([stop], 1900);
  t.deepEqual(tracker.dueStops(1900), [stop]);
});

test('a VM that is being returned no longer counts, even while the list still contains it', (t) => {
  const tracker = new SupplyTracker({ returnAfterMs: 0, resendMs: 1000 });
  const kind = { failureDomain: 'a', machineClass: 'small', reclaimable: true };
  const listed = [{ id: 'v', ...kind, labels: LABELS, state: 'live' }] as const;
  tracker.applyPlan([{ action: 'stop', vmId: 'v' }], 0);
  t.deepEqual(tracker.current(listed, 0), []);
  tracker.recordStopSent('v', 0);
  t.deepEqual(tracker.dueStops(999), []);
  t.is(tracker.dueStops(1000).length, 1, 'a return without a reply is resent');
  tracker.recordStopConfirmed('v');
  t.deepEqual(tracker.dueStops(1e9), []);
  t.deepEqual(tracker.current(listed, 2000), []);
});

test('a VM started by the previous holder is adopted', (t) => {
  const tracker = new SupplyTracker();
  const kind = { failureDomain: 'a', machineClass: 'small', reclaimable: true };
  tracker.adopt({ action: 'start', requestId: 'old-3', labels: LABELS, ...kind }, 'v9', 0);
  t.deepEqual(
    tracker.current([], 1).map(({ id, state }) => [id, state]),
    [['v9', 'pending']],
  );
  t.deepEqual(tracker.dueStarts(1), []);
});

test('weight loads stay within the rate limit of the store, also after it throttled', (t) => {
  fc.assert(
    fc.property(fc.array(fc.nat(300), { maxLength: 200 }), (delays) => {
      const bucket = new TokenBucket({ ratePerSecond: 4, burst: 2 });
      let now = 0;
      let taken = 0;
      for (const waitMs of delays) {
        now += waitMs;
        if (bucket.tryTake(now)) taken += 1;
      }
      return taken <= 2 + (4 * now) / 1000 + 1e-6;
    }),
    { seed: 29, numRuns: 200 },
  );
  const bucket = new TokenBucket({ ratePerSecond: 4 });
  t.true(bucket.tryTake(0));
  t.is(bucket.nextAt(0), 250);
  bucket.recordThrottled(5000, 0);
  t.false(bucket.tryTake(4999));
  t.true(bucket.tryTake(5000));
});

test('reclaim rates follow the observations and decay', (t) => {
  const history = new ReclaimHistory();
  const kind = { failureDomain: 'a', machineClass: 'small', reclaimable: true };
  const hour = 3_600_000;
  history.observe([kind], [], 0);
  for (let i = 1; i <= 4; i += 1) history.observe([kind], [kind], i * hour);
  const [busy] = history.rates();
  t.true((busy?.perHour ?? 0) > 0.6);
  for (let i = 5; i <= 40; i += 1) history.observe([kind], [], i * hour);
  const [calm] = history.rates();
  t.true((calm?.perHour ?? 1) < 0.05);
});
