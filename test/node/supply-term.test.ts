import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { Platform, PlatformOptions } from '@ragwortrudder/standins';
import { protectedUnits } from '@ragwortrudder/supply';
import type { ExecutionContext } from 'ava';
import {
  TermRun,
  control,
  startPlatform,
  supplySettings,
  ticketsOf,
  vmsOf,
} from './supply-parts.ts';

const FOUR = ticketsOf(4);

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

/** Steps until the plan asks for nothing more for several periods, and returns the VMs. */
async function settle(run: TermRun, platform: Platform): Promise<number> {
  let quietSteps = 0;
  let known = -1;
  await run.steps(FOUR, async () => {
    await sleep(30);
    const { length } = await vmsOf(platform);
    const { heldVms, pendingStarts } = run.term.status;
    const isQuiet = length === known && heldVms === length && pendingStarts === 0;
    quietSteps = isQuiet ? quietSteps + 1 : 0;
    known = length;
    return quietSteps >= 6 && length > 0;
  });
  return known;
}

/** Number of VMs that the plan holds without any fault. */
async function faultless(t: ExecutionContext): Promise<number> {
  let count = 0;
  await withPlatform(async (platform) => {
    const run = new TermRun(platform.address, 7);
    count = await settle(run, platform);
    const held = run.term.status;
    t.true(held.protectedRunners >= 4);
    await run.close();
  });
  return count;
}

test('the runners needed are left when any failure domain loses its reclaimable VMs', async (t) => {
  await withPlatform(async (platform) => {
    const run = new TermRun(platform.address, 7);
    await settle(run, platform);
    const vms = await vmsOf(platform);
    t.true(protectedUnits(vms, { standard: 1 }) >= 4);
    await run.close();
  });
});

test('starts whose replies are lost start no VM twice and forget none', async (t) => {
  const expected = await faultless(t);
  await withPlatform(async (platform) => {
    const run = new TermRun(platform.address, 7);
    await control(platform.address, 'faults', { target: 'cloud', mode: 'reply-lost', count: 9 });
    t.is(await settle(run, platform), expected);
    t.is(run.term.status.heldVms, expected);
    t.true((await run.metrics.by('supply_actions', 'result')).lost !== undefined);
    await run.close();
  });
});

test('while the cloud API is down nothing is lost, and after it nothing was started twice', async (t) => {
  const expected = await faultless(t);
  await withPlatform(async (platform) => {
    const run = new TermRun(platform.address, 7);
    await control(platform.address, 'faults', { target: 'cloud', mode: 'down' });
    for (let step = 0; step < 3; step += 1) await run.step(FOUR);
    t.is((await vmsOf(platform)).length, 0);
    await control(platform.address, 'faults', { target: 'cloud', mode: 'ok' });
    t.is(await settle(run, platform), expected);
    await run.close();
  });
});

test('a failure domain that refuses is left alone and others serve the need', async (t) => {
  await withPlatform(async (platform) => {
    await control(platform.address, 'capacity', { failureDomain: 'a', capacity: 0 });
    const run = new TermRun(platform.address, 7);
    await settle(run, platform);
    const vms = await vmsOf(platform);
    t.false(vms.some(({ failureDomain }) => failureDomain === 'a'));
    t.true(run.term.status.protectedRunners >= 4);
    t.true(run.term.status.refusedKinds > 0);
    await run.close();
  });
});

test('starts above the rate of the cloud API are sent again later', async (t) => {
  const expected = await faultless(t);
  await withPlatform(
    async (platform) => {
      const run = new TermRun(platform.address, 7);
      t.is(await settle(run, platform), expected);
      t.true((await run.metrics.by('supply_actions', 'result')).throttled !== undefined);
      await run.close();
    },
    { cloudCallsPerSecond: 2 },
  );
});

test('a new holder counts what a killed one asked for without seeing the reply', async (t) => {
  const expected = await faultless(t);
  await withPlatform(
    async (platform) => {
      const killed = new TermRun(platform.address, 7);
      await killed.step(FOUR);
      await killed.close();
      t.true((await vmsOf(platform)).length > 0);
      const run = new TermRun(platform.address, 9, { earlierFences: [7] });
      t.is(await settle(run, platform), expected);
      t.is((await run.metrics.by('supply_actions', 'action')).adopt, 4);
      await run.close();
    },
    { vmLagMs: 400 },
  );
});

test('a holder whose lease ends during a call starts nothing more', async (t) => {
  await withPlatform(async (platform) => {
    const run: TermRun = new TermRun(platform.address, 7, {
      cloud: {
        startVm: () => {
          run.isHeld = false;
          return Promise.resolve('vm-x');
        },
        stopVm: () => Promise.resolve(t.fail()),
        findStarted: () => Promise.resolve(undefined),
      },
    });
    for (let step = 0; step < 3; step += 1) await run.step(FOUR);
    t.is((await run.metrics.by('supply_actions', 'action')).start, 1);
    await run.close();
  });
});

test('VMs on which nothing serves replace no others, and are returned in the end', async (t) => {
  await withPlatform(async (platform) => {
    const { supply } = supplySettings('a', platform.address, { bootMs: 1000 });
    const run = new TermRun(platform.address, 7, { settings: supply });
    run.boots = false;
    await run.steps(FOUR, () => run.term.status.pendingStarts >= 6);
    t.is(run.term.status.heldVms, 0);
    t.is(run.leaving.size, 0);
    await run.steps(FOUR, () => run.leaving.size >= 6);
    const first = new Set(run.leaving.keys());
    await run.steps(FOUR, async () => (await vmsOf(platform)).every(({ id }) => !first.has(id)));
    await run.close();
  });
});

test('a VM that is not needed is returned once its runner has finished its requests', async (t) => {
  await withPlatform(async (platform) => {
    let running = 1;
    const run = new TermRun(platform.address, 7, {
      runners: { load: () => Promise.resolve({ at: 0, running, waiting: 0, leaving: false }) },
    });
    for (const [index, failureDomain] of ['a', 'b', 'c', 'a'].entries()) {
      const labels = { service: 'quotes', version: 'v1', kind: 'model' };
      const vm = { id: `old-${index}`, failureDomain, labels, address: '127.0.0.1:9' };
      await control(platform.address, 'vms', { ...vm, atOnce: true });
    }
    const none = ticketsOf(0);
    await run.steps(none, () => run.leaving.size === 4);
    for (let step = 0; step < 3; step += 1) await run.step(none);
    t.is((await vmsOf(platform)).length, 4);
    t.deepEqual([...new Set(run.leaving.values())], [Infinity]);
    running = 0;
    await run.steps(none, async () => (await vmsOf(platform)).length === 0);
    await run.close();
  });
});
