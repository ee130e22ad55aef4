import test from 'ava';
import { simulateModels } from './simulate-models.ts';
import type { Conditions } from './simulate-models.ts';

const BASE: Conditions = {
  requestsPerSecond: 60,
  reportLagMs: 100,
  eventLagMs: 100,
  eventLoss: 0,
  seed: 41,
};
const CONDITIONS: Readonly<Record<string, Conditions>> = {
  'fresh hints': BASE,
  'cache events off': { ...BASE, eventLagMs: Infinity },
  'cache events 5 s late': { ...BASE, eventLagMs: 5000 },
  'a third of the cache events lost': { ...BASE, eventLoss: 1 / 3 },
  'load reports 5 s old': { ...BASE, reportLagMs: 5000 },
  'events off and reports old': { ...BASE, eventLagMs: Infinity, reportLagMs: 5000 },
};
const BASELINES = ['round-robin', 'least-loaded', 'prefix-hash'] as const;

for (const [title, conditions] of Object.entries(CONDITIONS)) {
  test(`the estimate beats every baseline with ${title}`, (t) => {
    const estimate = simulateModels('estimate', conditions);
    const baselines = BASELINES.map((name) => ({ name, ...simulateModels(name, conditions) }));
    for (const result of [{ name: 'estimate', ...estimate }, ...baselines]) {
      const { name, p50Ms, p95Ms, p99Ms, withinTarget, recomputed } = result;
      t.log(
        `| ${name} | ${p50Ms} | ${p95Ms} | ${p99Ms} | ${withinTarget.toFixed(3)} | ${recomputed} |`,
      );
    }
    t.true(estimate.p95Ms < Math.min(...baselines.map(({ p95Ms }) => p95Ms)));
    t.true(estimate.withinTarget >= Math.max(...baselines.map((item) => item.withinTarget)));
    const balanced = baselines.filter(({ name }) => name !== 'prefix-hash');
    t.true(estimate.recomputed < 0.1 * Math.min(...balanced.map((item) => item.recomputed)));
  });
}
