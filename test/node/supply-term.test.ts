import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { Platform, PlatformOptions } from '@ragwortrudder/standins';
import { protectedUnits } from '@ragwortrudder/supply';
import type { ExecutionContext } from 'ava';
import {
  TermHarness,
  control,
  startPlatform,
  supplySettings,
  ticketsOf,
  vmsOf,
} from './supply-harness.ts';

const FOUR_RUNNERS = ticketsOf(4);

async function withPlatform(
  run: (platform: Platform) => Promise<void>,
  options: PlatformOptions = {},
): Promise<void> {
  const platform = await startPlatform(options);
  try {
    await run(platform);
  } finally {
    await platform.close();
  }
}

/** Steps until the number of VMs has been stable for several periods, and returns that number. */
async function settle(run: TermHarness, platform: Platform): Promise<number> {
  let quietSteps = 0;
  let lastCount = -1;
  await run.steps(FOUR_RUNNERS, async () => {
    await sleep(30);
    const { length } = await vmsOf(platform);
    const { heldVms, pendingStarts } = run.term.status;
    const isQuiet = length === lastCount && heldVms === length && pendingStarts === 0;
    quietSteps = isQuiet ? quietSteps + 1 : 0;
    lastCount = length;
    return quietSteps >= 6 && length > 0;
  });
  return lastCount;
}

/** Number of VMs that the job holds after it has settled without any fault. */
async function vmCountWithoutFaults(t: ExecutionContext): Promise<number> {
  let count = 0;
  await withPlatform(async (platform) => {
    const run = new TermHarness(platform.address, 7);
    count = await settle(run, platform);
    const held = run.term.status;
    t.true(held.protectedRunners >= 4);
    await run.close();
  });
  return count;
}

test('the required runners remain when any failure domain loses its reclaimable VMs', async (t) => {
  await withPlatform(async (platform) => {
    const run = new TermHarness(platform.address, 7);
    await settle(run, platform);
    const vms = await vmsOf(platform);
    t.true(protectedUnits(vms, { standard: 1 }) >= 4);
    await run.close();
  });
});

test('lost replies to start calls lead neither to duplicate VMs nor to forgotten ones', async (t) => {
  const expected = await vmCountWithoutFaults(t);
  await withPlatform(async (platform) => {
    const run = new TermHarness(platform.address, 7);
    await control(platform.address, 'faults', { target: 'cloud', mode: 'reply-lost', count: 9 });
    t.is(await settle(run, platform), expected);
    t.is(run.term.status.heldVms, expected);
    t.true((await run.metrics.totalsByLabel('supply_actions', 'result')).lost !== undefined);
    await run.close();
  });
});

test('an outage of the cloud API neither loses starts nor causes duplicate ones', async (t) => {
  const expected = await vmCountWithoutFaults(t);
  await withPlatform(async (platform) => {
    const run = new TermHarness(platform.address, 7);
    await control(platform.address, 'faults', { target: 'cloud', mode: 'down' });
    for (let step = 0; step < 3; step += 1) await run.step(FOUR_RUNNERS);
    t.is((await vmsOf(platform)).length, 0);
    await control(platform.address, 'faults', { target: 'cloud', mode: 'ok' });
    t.is(await settle(run, platform), expected);
    await run.close();
  });
});

test('a failure domain without capacity is avoided and the others supply the VMs', async (t) => {
  await withPlatform(async (platform) => {
    await control(platform.address, 'capacity', { failureDomain: 'a', capacity: 0 });
    const run = new TermHarness(platform.address, 7);
    await settle(run, platform);
    const vms = await vmsOf(platform);
    t.false(vms.some(({ failureDomain }) => failureDomain === 'a'));
    t.true(run.term.status.protectedRunners >= 4);
    t.true(run.term.status.refusedKinds > 0);
    await run.close();
  });
});

test('starts above the rate limit of the cloud API are retried later', async (t) => {
  const expected = await vmCountWithoutFaults(t);
  await withPlatform(
    async (platform) => {
      const run = new TermHarness(platform.address, 7);
      t.is(await settle(run, platform), expected);
      t.true((await run.metrics.totalsByLabel('supply_actions', 'result')).throttled !== undefined);
      await run.close();
    },
    { cloudCallsPerSecond: 2 },
  );
});

test('a new holder adopts the VMs that a killed holder requested without reading the reply', async (t) => {
  const expected = await vmCountWithoutFaults(t);
  await withPlatform(
    async (platform) => {
      const killed = new TermHarness(platform.address, 7);
      await killed.step(FOUR_RUNNERS);
      await killed.close();
      t.true((await vmsOf(platform)).length > 0);
      const run = new TermHarness(platform.address, 9, { earlierFences: [7] });
      t.is(await settle(run, platform), expected);
      t.is((await run.metrics.totalsByLabel('supply_actions', 'action')).adopt, 4);
      await run.close();
    },
    { vmLagMs: 400 },
  );
});

test('a holder whose lease ends during a call starts no further VMs', async (t) => {
  await withPlatform(async (platform) => {
    const run: TermHarness = new TermHarness(platform.address, 7, {
      cloud: {
        startVm: () => {
          run.isHeld = false;
          return Promise.resolve('vm-x');
        },
        stopVm: () => Promise.resolve(t.fail()),
        findStarted: () => Promise.resolve(undefined),
      },
    });
    for (let step = 0; step < 3; step += 1) await run.step(FOUR_RUNNERS);
    t.is((await run.metrics.totalsByLabel('supply_actions', 'action')).start, 1);
    await run.close();
  });
});

test('VMs on which no runner boots replace no others and are eventually returned', async (t) => {
  await withPlatform(async (platform) => {
    const { supply } = supplySettings('a', platform.address, { bootMs: 1000 });
    const run = new TermHarness(platform.address, 7, { settings: supply });
    run.vmsBoot = false;
    await run.steps(FOUR_RUNNERS, () => run.term.status.pendingStarts >= 6);
    t.is(run.term.status.heldVms, 0);
    t.is(run.leaving.size, 0);
    await run.steps(FOUR_RUNNERS, () => run.leaving.size >= 6);
    const first = new Set(run.leaving.keys());
    await run.steps(FOUR_RUNNERS, async () =>
      (await vmsOf(platform)).every(({ id }) => !first.has(id)),
    );
    await run.close();
  });
});

test('a VM that is no longer needed is returned once its runner has finished its requests', async (t) => {
  await withPlatform(async (platform) => {
    let running = 1;
    const run = new TermHarness(platform.address, 7, {
      runners: { load: () => Promise.resolve({ at: 0, running, waiting: 0, leaving: false }) },
    });
    for (const [index, failureDomain] of ['a', 'b', 'c', 'a'].entries()) {
      const labels = { service: 'quotes', version: 'v1', kind: 'model' };
      const vm = { id: `old-${index}`, failureDomain, labels, address: '127.0.0.1:9' };
      await control(platform.address, 'vms', { ...vm, atOnce: true });
    }
    const noRunners = ticketsOf(0);
    await run.steps(noRunners, () => run.leaving.size === 4);
    for (let step = 0; step < 3; step += 1) await run.step(noRunners);
    t.is((await vmsOf(platform)).length, 4);
    t.deepEqual([...new Set(run.leaving.values())], [Infinity]);
    running = 0;
    await run.steps(noRunners, async () => (await vmsOf(platform)).length === 0);
    await run.close();
  });
});
