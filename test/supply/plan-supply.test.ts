import test from 'ava';
import fc from 'fast-check';
import { CheapestFirstSupply, MixedSupply, OnDemandSupply } from '@ragwortrudder/supply';
import { planSupply, protectedUnits } from '@ragwortrudder/supply';
import type { SupplyAction, SupplyInput, SupplyVm, VmKind, VmPrice } from '@ragwortrudder/supply';

const DOMAINS = ['a', 'b', 'c'];
const UNITS = { small: 1, large: 4 };
const LABELS = { service: 'quotes', version: 'v1', kind: 'model' };

function pricesOf(values: readonly number[]): readonly VmPrice[] {
  const kinds = DOMAINS.flatMap((failureDomain) =>
    Object.keys(UNITS).flatMap((machineClass) =>
      [true, false].map((reclaimable) => ({ failureDomain, machineClass, reclaimable })),
    ),
  );
  return kinds.map((kind, i) => {
    const units = kind.machineClass === 'large' ? 4 : 1;
    const base = (kind.reclaimable ? 0.3 : 1) * units;
    return { ...kind, pricePerHour: base * (values[i] ?? 1) };
  });
}

function inputOf(fields: Partial<SupplyInput> = {}): SupplyInput {
  return {
    demand: [{ labels: LABELS, units: 12, unitsByClass: UNITS }],
    prices: pricesOf([]),
    reclaimRates: [],
    refusals: [],
    current: [],
    options: { now: 1e6, epoch: 'e1', nextSequence: 0, maxStarts: 1000 },
    ...fields,
  };
}

/** Applies a plan on a platform that grants every request. */
function applied(
  current: readonly SupplyVm[],
  actions: readonly SupplyAction[],
): readonly SupplyVm[] {
  const stopped = new Set(actions.flatMap((item) => (item.action === 'stop' ? [item.vmId] : [])));
  const started = actions.flatMap((item): readonly SupplyVm[] => {
    if (item.action === 'stop') return [];
    const { requestId: id, failureDomain, machineClass, reclaimable, labels } = item;
    return [{ id, failureDomain, machineClass, reclaimable, labels, state: 'live' }];
  });
  return [...current.filter(({ id }) => !stopped.has(id)), ...started];
}

function hourly(vms: readonly VmKind[], prices: readonly VmPrice[]): number {
  const priceOf = (vm: VmKind): number =>
    prices.find(
      (price) =>
        price.failureDomain === vm.failureDomain &&
        price.machineClass === vm.machineClass &&
        price.reclaimable === vm.reclaimable,
    )?.pricePerHour ?? NaN;
  return vms.reduce((sum, vm) => sum + priceOf(vm), 0);
}

const PRICE_FACTORS = fc.array(fc.double({ min: 0.5, max: 2, noNaN: true }), {
  minLength: 12,
  maxLength: 12,
});

test('the plan survives the loss of any domain, keeps the on-demand floor, is stable and costs no more than on demand', (t) => {
  fc.assert(
    fc.property(PRICE_FACTORS, fc.integer({ min: 1, max: 60 }), (factors, units) => {
      const prices = pricesOf(factors);
      const demand = [{ labels: LABELS, units, unitsByClass: UNITS }];
      const input = inputOf({ prices, demand });
      const current = applied([], planSupply(input));
      if (protectedUnits(current, UNITS) < units) return false;
      const onDemand = current.filter(({ reclaimable }) => !reclaimable);
      const floor = onDemand.reduce((sum, vm) => sum + (vm.machineClass === 'large' ? 4 : 1), 0);
      if (floor < 0.2 * units) return false;
      const baseline = applied([], new OnDemandSupply().plan(input));
      if (hourly(current, prices) > hourly(baseline, prices) + 1e-9) return false;
      return planSupply({ ...input, current }).every((item) => item.action === 'stop');
    }),
    { seed: 13, numRuns: 200 },
  );
  t.pass();
});

test('a refused kind is retried with exponential backoff, and the demand is covered without it', (t) => {
  const cheapest = planSupply(inputOf()).find(
    (item) => item.action === 'start' && item.reclaimable,
  );
  t.truthy(cheapest);
  if (cheapest?.action !== 'start') return;
  const { failureDomain, machineClass, reclaimable } = cheapest;
  const isRequested = (count: number, ageMs: number): boolean => {
    const refusal = { failureDomain, machineClass, reclaimable, count, lastAt: 1e6 - ageMs };
    const actions = planSupply(inputOf({ refusals: [refusal] }));
    t.true(protectedUnits(applied([], actions), UNITS) >= 12);
    return actions.some(
      (item) =>
        item.action === 'start' &&
        item.failureDomain === failureDomain &&
        item.machineClass === machineClass &&
        item.reclaimable === reclaimable,
    );
  };
  t.false(isRequested(1, 29_000));
  t.true(isRequested(1, 31_000));
  t.false(isRequested(3, 119_000));
  t.true(isRequested(3, 121_000));
  t.false(isRequested(40, 899_000));
  t.true(isRequested(40, 901_000));
});

test('when all reclaimable kinds are refused, on-demand VMs cover the demand', (t) => {
  const refusals = pricesOf([])
    .filter(({ reclaimable }) => reclaimable)
    .map((kind) => ({ ...kind, count: 5, lastAt: 1e6 }));
  const vms = applied([], planSupply(inputOf({ refusals })));
  t.true(vms.every(({ reclaimable }) => !reclaimable));
  t.true(protectedUnits(vms, UNITS) >= 12);
});

test('small price changes cause no actions; surplus VMs are returned, but never below the demand', (t) => {
  const current = applied([], planSupply(inputOf()));
  fc.assert(
    fc.property(
      fc.array(fc.double({ min: 0.96, max: 1.04, noNaN: true }), { minLength: 12, maxLength: 12 }),
      (factors) => {
        return planSupply(inputOf({ current, prices: pricesOf(factors) })).length === 0;
      },
    ),
    { seed: 17, numRuns: 100 },
  );
  const demand = [{ labels: LABELS, units: 4, unitsByClass: UNITS }];
  const reduced = applied(current, planSupply(inputOf({ current, demand })));
  t.true(reduced.length < current.length);
  t.true(protectedUnits(reduced, UNITS) >= 4);
});

test('no VM is returned before its replacement is live', (t) => {
  const current = applied([], new OnDemandSupply().plan(inputOf()));
  const first = planSupply(inputOf({ current }));
  t.true(first.some((item) => item.action === 'start'));
  t.true(first.every((item) => item.action === 'start'));
  const live = applied(current, first);
  t.true(planSupply(inputOf({ current: live })).some((item) => item.action === 'stop'));
});

test('request ids depend only on the epoch and the sequence number', (t) => {
  const idsOf = (input: SupplyInput) =>
    planSupply(input).flatMap((item) => (item.action === 'start' ? [item.requestId] : []));
  t.deepEqual(idsOf(inputOf()), idsOf(inputOf()));
  t.is(idsOf(inputOf())[0], 'e1-0');
  t.is(new Set(idsOf(inputOf())).size, idsOf(inputOf()).length);
});

test('cost and capacity left after the loss of a domain, compared with the baselines', (t) => {
  const input = inputOf({ demand: [{ labels: LABELS, units: 48, unitsByClass: UNITS }] });
  const rows = [new MixedSupply(), new OnDemandSupply(), new CheapestFirstSupply()].map(
    (policy) => {
      const vms = applied([], policy.plan(input));
      const left = protectedUnits(vms, UNITS);
      return { policy: policy.name, vms: vms.length, perHour: hourly(vms, input.prices), left };
    },
  );
  for (const { policy, vms, perHour, left } of rows) {
    t.log(`| ${policy} | ${vms} | ${perHour.toFixed(2)} | ${left} |`);
  }
  const [mixed, onDemand, cheapest] = rows;
  t.true((mixed?.perHour ?? 0) < 0.8 * (onDemand?.perHour ?? 0));
  t.true((mixed?.left ?? 0) >= 48);
  t.true((cheapest?.left ?? 0) < 48);
});

test('a baseline policy returns VMs outside its own mix, even if the loss of a domain is then not covered', (t) => {
  const cheapest = new CheapestFirstSupply();
  const held = applied([], cheapest.plan(inputOf()));
  const options = { ...inputOf().options, nextSequence: 100 };
  const dearer = inputOf({ current: held, prices: pricesOf([3, 1, 3, 1]), options });
  const both = applied(held, cheapest.plan(dearer));
  const left = applied(both, cheapest.plan({ ...dearer, current: both }));
  t.is(new Set(both.map(({ failureDomain }) => failureDomain)).size, 2);
  t.is(protectedUnits(both, UNITS), 12);
  t.is(protectedUnits(left, UNITS), 1);
});
