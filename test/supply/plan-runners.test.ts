import test from 'ava';
import { planRunners } from '@ragwortrudder/supply';
import type { DomainRunners, RunnerPlan } from '@ragwortrudder/supply';

function domain(failureDomain: string, change: Partial<DomainRunners> = {}): DomainRunners {
  return { failureDomain, price: 1, onDemand: 0, spot: 0, isSpotRefused: false, ...change };
}

function totals(plans: readonly RunnerPlan[]): {
  readonly spot: number;
  readonly onDemand: number;
} {
  return {
    spot: plans.reduce((sum, { spot }) => sum + spot, 0),
    onDemand: plans.reduce((sum, { onDemand }) => sum + onDemand, 0),
  };
}

const BOUNDS = { min: 1, max: 4, spotPrice: 0.2, isWave: false };

test('cheap reclaimable runners spread over the domains carry the load, and one on-demand runner is kept', (t) => {
  const domains = [
    domain('a', { spot: 2 }),
    domain('b', { spot: 2, price: 0.8 }),
    domain('c', { spot: 2 }),
  ];
  const plans = planRunners({ ...BOUNDS, busyRunners: 2, domains });
  t.deepEqual(
    plans.map(({ spot }) => spot),
    [2, 2, 2],
  );
  t.is(totals(plans).onDemand, 1);
  t.is(plans[1]?.onDemand, 1);
});

test('without reclaimable runners, on-demand runners cover the load within the bounds', (t) => {
  const domains = [domain('a'), domain('b'), domain('c')];
  const plans = planRunners({ min: 1, max: 4, isWave: false, busyRunners: 3, domains });
  t.deepEqual(totals(plans), { spot: 0, onDemand: 4 });
  const most = planRunners({ min: 1, max: 4, isWave: false, busyRunners: 30, domains });
  t.deepEqual(totals(most), { spot: 0, onDemand: 12 });
});

test('pattern: wave of reclaims; on-demand runners cover the entire load until it is over', (t) => {
  const domains = [
    domain('a', { spot: 2 }),
    domain('b', { spot: 2 }),
    domain('c', { isSpotRefused: true }),
  ];
  const calm = planRunners({ ...BOUNDS, busyRunners: 2, domains });
  const wave = planRunners({ ...BOUNDS, isWave: true, busyRunners: 2, domains });
  t.is(totals(calm).onDemand, 1);
  t.is(totals(wave).onDemand, 3);
});

// Guards against on-demand runners that are ordered away for reclaimable ones which do not serve yet (SHORT).
test('pattern: load near the maximum after a wave of reclaims; on-demand runners give way as far as others serve', (t) => {
  const domains = [
    domain('a', { onDemand: 9, spot: 33, price: 0.85 }),
    domain('b', { onDemand: 42, price: 1.2 }),
    domain('c', { onDemand: 42 }),
  ];
  const plans = planRunners({ ...BOUNDS, max: 42, busyRunners: 65, domains });
  const neededRunners = 87;
  t.is(totals(plans).onDemand, neededRunners - 33);
  t.is(plans[0]?.spot, 33);
});

test('pattern: load near the maximum; all on-demand runners but one are replaced step by step, and the need is met throughout', (t) => {
  const max = 42;
  let domains = ['a', 'b', 'c'].map((name) => domain(name, { onDemand: max }));
  for (let step = 0; step < 12; step += 1) {
    const plans = planRunners({ ...BOUNDS, max, busyRunners: 65, domains });
    // On-demand runners leave at once, and reclaimable ones serve with the next step.
    const serving = domains.reduce(
      (sum, { spot }, index) => sum + spot + Math.min(max - spot, plans[index]?.onDemand ?? 0),
      0,
    );
    t.true(serving >= 87, `step ${step}: ${serving}`);
    domains = domains.map((before, index) => {
      const { onDemand = 0, spot = 0 } = plans[index] ?? {};
      return { ...before, onDemand, spot: Math.max(before.spot, Math.min(spot, max - onDemand)) };
    });
  }
  t.is(
    domains.reduce((sum, { onDemand }) => sum + onDemand, 0),
    1,
  );
});

test('no more reclaimable runners are ordered than fit beside those on demand that are still ordered', (t) => {
  const domains = [domain('a', { onDemand: 4 }), domain('b', { spot: 3 }), domain('c')];
  const plans = planRunners({ ...BOUNDS, busyRunners: 3, domains });
  t.is(plans[0]?.spot, 0);
});

test('on-demand runners stay in place when their number does not change', (t) => {
  const domains = [domain('a', { price: 0.5 }), domain('b', { onDemand: 2 }), domain('c')];
  const plans = planRunners({ min: 0, max: 4, isWave: false, busyRunners: 1.3, domains });
  t.deepEqual(
    plans.map(({ onDemand }) => onDemand),
    [0, 2, 0],
  );
});

test('both kinds together stay within the bounds of a domain', (t) => {
  const domains = [domain('a', { onDemand: 4 }), domain('b'), domain('c')];
  for (const busyRunners of [0, 1, 5, 20]) {
    for (const plan of planRunners({ ...BOUNDS, isWave: true, busyRunners, domains })) {
      t.true(plan.spot + plan.onDemand <= 4);
      t.true(plan.spot + plan.onDemand >= 1);
    }
  }
});

test('pattern: wave of reclaims; on-demand runners use the room left by reclaimable runners', (t) => {
  const domains = [
    domain('a', { spot: 2, onDemand: 1 }),
    domain('b', { spot: 2 }),
    domain('c', { isSpotRefused: true }),
  ];
  const bounds = { min: 1, max: 6, spotPrice: 0.2, isWave: true };
  const plans = planRunners({ ...bounds, busyRunners: 7, domains });
  t.true(totals(plans).onDemand >= 10, JSON.stringify(plans));
  for (const { spot, onDemand } of plans) t.true(spot + onDemand <= 6);
});
