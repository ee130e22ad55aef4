import test from 'ava';
import fc from 'fast-check';
import { ReclaimHistory, SupplyLedger, TokenBucket, planSupply } from '@ragwortrudder/supply';
import type { SupplyDemand, SupplyVm, VmPrice } from '@ragwortrudder/supply';
import { FakeCloud } from './fake-cloud.ts';
import type { Fate } from './fake-cloud.ts';

const LABELS = { service: 'quotes' };
const UNITS = { small: 1 };
const STEP_MS = 700;
/** Forty of these outlast the longest back-off after refusals. */
const SETTLE_STEP_MS = 60_000;
const RETURN_AFTER_MS = 3000;
const UNLISTED_MS = 20_000;
const PRICES: readonly VmPrice[] = ['a', 'b', 'c'].flatMap((failureDomain) => [
  { failureDomain, machineClass: 'small', reclaimable: true, pricePerHour: 0.3 },
  { failureDomain, machineClass: 'small', reclaimable: false, pricePerHour: 1 },
]);

/** One supply job before a fake cloud. */
class Job {
  readonly ledger = new SupplyLedger({ returnAfterMs: RETURN_AFTER_MS, unlistedMs: UNLISTED_MS });
  readonly cloud = new FakeCloud();
  now = 0;
  current: readonly SupplyVm[] = [];

  turn(units: number, fate: Fate, isListFresh: boolean, stepMs = STEP_MS): void {
    this.now += stepMs;
    if (isListFresh) this.cloud.refresh();
    this.current = this.ledger.current(this.cloud.listed, this.now);
    const demand: readonly SupplyDemand[] = [{ labels: LABELS, units, unitsByClass: UNITS }];
    const { refusals, nextSequence } = this.ledger;
    const options = { now: this.now, epoch: 'e', nextSequence };
    const actions = planSupply({
      demand,
      prices: PRICES,
      reclaimRates: [],
      refusals,
      current: this.current,
      options,
    });
    this.ledger.accept(actions, this.now);
    for (const start of this.ledger.dueStarts(this.now)) {
      this.ledger.startSent(start.requestId, this.now);
      const reply = this.cloud.start(start, fate);
      this.ledger.startReplied(start.requestId, reply, this.now, this.now);
    }
    for (const { vmId } of this.ledger.dueStops(this.now)) {
      this.ledger.stopSent(vmId, this.now);
      if (this.cloud.stop(vmId, fate)) this.ledger.stopConfirmed(vmId);
    }
  }
}

test('with replies lost, refusals, reclaims and a lagging list no VM is started twice or forgotten', (t) => {
  const step = fc.record({
    fate: fc.constantFrom<Fate>('ok', 'reply-lost', 'request-lost', 'refused', 'throttled'),
    isListFresh: fc.boolean(),
    units: fc.constantFrom(3, 3, 3, 6, 1),
    reclaimed: fc.option(fc.nat(20), { freq: 6 }),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const job = new Job();
      for (const { fate, isListFresh, units, reclaimed } of steps) {
        if (reclaimed !== null) job.cloud.reclaim(reclaimed);
        job.turn(units, fate, isListFresh);
      }
      for (let i = 0; i < 40; i += 1) job.turn(3, 'ok', true, SETTLE_STEP_MS);
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
      const left = live.length - worst;
      return left >= 3 && left <= 4;
    }),
    { seed: 19, numRuns: 400 },
  );
  t.pass();
});

test('lost replies alone start exactly as many VMs as no loss at all', (t) => {
  const plain = new Job();
  for (let i = 0; i < 20; i += 1) plain.turn(6, 'ok', true);
  fc.assert(
    fc.property(
      fc.array(fc.constantFrom<Fate>('reply-lost', 'request-lost', 'ok'), { maxLength: 20 }),
      fc.boolean(),
      (fates, isListFresh) => {
        const job = new Job();
        for (const fate of fates) job.turn(6, fate, isListFresh);
        for (let i = 0; i < 20; i += 1) job.turn(6, 'ok', true);
        return job.cloud.started === plain.cloud.started;
      },
    ),
    { seed: 23, numRuns: 200 },
  );
  t.pass();
});

test('a VM is returned only after it was surplus for the whole delay', (t) => {
  const ledger = new SupplyLedger({ returnAfterMs: 1000 });
  const stop = { action: 'stop', vmId: 'v' } as const;
  ledger.accept([stop], 0);
  ledger.accept([], 500);
  ledger.accept([stop], 900);
  ledger.accept([stop], 1800);
  t.deepEqual(ledger.dueStops(1800), []);
  ledger.accept([stop], 1900);
  t.deepEqual(ledger.dueStops(1900), [stop]);
});

test('a VM that is being returned no longer counts, though the list still shows it', (t) => {
  const ledger = new SupplyLedger({ returnAfterMs: 0, resendMs: 1000 });
  const kind = { failureDomain: 'a', machineClass: 'small', reclaimable: true };
  const listed = [{ id: 'v', ...kind, labels: LABELS, state: 'live' }] as const;
  ledger.accept([{ action: 'stop', vmId: 'v' }], 0);
  t.deepEqual(ledger.current(listed, 0), []);
  ledger.stopSent('v', 0);
  t.deepEqual(ledger.dueStops(999), []);
  t.is(ledger.dueStops(1000).length, 1, 'a return without an answer is sent again');
  ledger.stopConfirmed('v');
  t.deepEqual(ledger.dueStops(1e9), []);
  t.deepEqual(ledger.current(listed, 2000), []);
});

test('a VM of a predecessor is taken over', (t) => {
  const ledger = new SupplyLedger();
  const kind = { failureDomain: 'a', machineClass: 'small', reclaimable: true };
  ledger.adopt({ action: 'start', requestId: 'old-3', labels: LABELS, ...kind }, 'v9', 0);
  t.deepEqual(
    ledger.current([], 1).map(({ id, state }) => [id, state]),
    [['v9', 'pending']],
  );
  t.deepEqual(ledger.dueStarts(1), []);
});

test('weight loads stay under the rate of the store, also after it refused', (t) => {
  fc.assert(
    fc.property(fc.array(fc.nat(300), { maxLength: 200 }), (waits) => {
      const bucket = new TokenBucket({ ratePerSecond: 4, burst: 2 });
      let now = 0;
      let taken = 0;
      for (const waitMs of waits) {
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
  bucket.throttled(5000, 0);
  t.false(bucket.tryTake(4999));
  t.true(bucket.tryTake(5000));
});

test('reclaim rates follow what is seen and fade', (t) => {
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
