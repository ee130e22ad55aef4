import { fileURLToPath } from 'node:url';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { checkSettings } from '@ragwortrudder/settings';
import {
  ApplicationRunner,
  ChildProcess,
  EngineRunner,
  Fleet,
  ProcessFailure,
  entrySettings,
  freeAddresses,
  processHost,
} from '@ragwortrudder/standins';
import type { FleetOptions } from '@ragwortrudder/standins';
import { call } from './call.ts';

const PROGRAM = fileURLToPath(new URL('fake-node.ts', import.meta.url));
const STANDINS = fileURLToPath(new URL('../../packages/standins/src/cli/main.ts', import.meta.url));
const LONG_MS = 3_600_000;

async function start(t: ExecutionContext, options: FleetOptions = {}): Promise<Fleet> {
  const fleet = new Fleet({ program: PROGRAM, failureDomains: ['a', 'b'], ...options });
  t.teardown(() => fleet.close());
  await fleet.start();
  return fleet;
}

/** Returns whether an entry node can reach an address. */
async function reaches(fleet: Fleet, name: string, address: string): Promise<boolean> {
  const url = encodeURIComponent(`http://${address}/health`);
  const reply = await call(`${fleet.callersAddress(name)}/fetch?url=${url}`);
  return reply.body.reached === true;
}

test('the generated settings are valid and include overrides', (t) => {
  const settings = entrySettings({
    entry: {
      name: 'entry-1',
      role: 'entry',
      failureDomain: 'a',
      address: '127.0.0.1:1000',
      peerAddress: '127.0.0.1:1001',
    },
    seeds: ['127.0.0.1:1001'],
    platformAddress: '127.0.0.1:1002',
    operator: new Fleet().operator,
    tenants: new Fleet().layout.tenants,
    overrides: { node: { region: 'north' } },
  });
  const checked = checkSettings(JSON.stringify(settings));
  t.like(checked, {
    node: { id: 'entry-1', failureDomain: 'a', region: 'north' },
    listen: { callers: { port: 1000 }, peers: { port: 1001 } },
    platform: { url: 'http://127.0.0.1:1002' },
  });
});

test('free addresses are unique and outside the ephemeral port range', async (t) => {
  const lists = await Promise.all([freeAddresses(3), freeAddresses(3)]);
  const addresses = lists.flat();
  t.is(new Set(addresses).size, 6);
  t.true(addresses.every((address) => /^127\..*:[123]\d{4}$/.test(address)));
  t.true(addresses.every((address) => Number(address.split(':')[1]) < 32_768));
});

// Guards against tests that fail because another process took the port of a runner that refused connections.
test('a runner that comes back listens on an address that no other process uses', async (t) => {
  const runners = [new EngineRunner({ id: 'm1' }), new ApplicationRunner({ id: 'a1' })];
  for (const runner of runners) {
    await runner.listen();
    t.teardown(() => runner.close());
    const [host, port] = runner.address.split(':');
    t.is(host, processHost());
    t.true(Number(port) < 32_768);
  }
});

test('a runner with a port of its own listens on it', async (t) => {
  const [address = ''] = await freeAddresses(1);
  const [host = '', port] = address.split(':');
  const runner = new EngineRunner({ id: 'm1', host, port: Number(port) });
  await runner.listen();
  t.teardown(() => runner.close());
  t.is(runner.address, address);
});

test('the layout distributes entry nodes and runners over the failure domains', (t) => {
  const { layout } = new Fleet({
    entriesPerFailureDomain: 2,
    runners: [{ service: 'quotes', version: 'v1', kind: 'model', count: 4 }],
  });
  const domains = (items: readonly { readonly failureDomain: string }[]) =>
    items.map((item) => item.failureDomain).join('');
  t.is(domains(layout.entries), 'abcabc');
  t.is(domains(layout.runners), 'abca');
});

test.serial('starts and stops a deployment, and signals its processes by name', async (t) => {
  const fleet = await start(t, {
    runners: [
      { service: 'quotes', version: 'v1', kind: 'model', count: 2 },
      { service: 'orders', version: 'v1', kind: 'application', count: 1 },
    ],
  });
  const { body } = await call(`${fleet.platformAddress}/vms`);
  const vms = body.vms as { readonly id: string; readonly labels: { readonly kind?: string } }[];
  t.deepEqual(vms.map((vm) => vm.id).sort(), [
    'entry-1',
    'entry-2',
    'vm-orders-v1-1',
    'vm-quotes-v1-1',
    'vm-quotes-v1-2',
  ]);
  const reply = await fleet.submitTicket({ number: 1 }, 'entry-2');
  t.like(reply, {
    status: 200,
    body: { id: 'entry-2', authorization: `Bearer ${fleet.operator.key}` },
  });

  await call(`${fleet.runner('orders-v1-1').address}/operations`, {
    json: { key: 'k', operation: 'reorder' },
  });
  t.like(await fleet.operationRuns(), [{ key: 'k', runner: 'orders-v1-1' }]);
  t.is((await fleet.engineStats()).length, 2);

  const pid = fleet.pid('entry-1');
  await fleet.kill('entry-1');
  t.is(fleet.pid('entry-1'), undefined);
  await fleet.restart('entry-1');
  t.not(fleet.pid('entry-1'), pid);
  t.is((await call(`${fleet.callersAddress('entry-1')}/ready`)).body.pid, fleet.pid('entry-1'));
  t.is(fleet.output('entry-1').match(/entry-1 starts/g)?.length, 2);

  fleet.pause('entry-2');
  const abort = new AbortController();
  const paused = call(`${fleet.callersAddress('entry-2')}/ready`, { signal: abort.signal });
  let replied = false;
  void paused.then(
    () => (replied = true),
    () => undefined,
  );
  await call(`${fleet.callersAddress('entry-1')}/ready`);
  t.false(replied);
  fleet.resume('entry-2');
  t.is((await paused).status, 200);
});

test.serial('faults and reclaims reach runners, platform and entry nodes', async (t) => {
  const fleet = await start(t, {
    failureDomains: ['a'],
    runners: [
      { service: 'quotes', version: 'v1', kind: 'model', count: 1 },
      { service: 'orders', version: 'v1', kind: 'application', count: 1 },
    ],
  });
  const model = fleet.runner('quotes-v1-1');
  await fleet.engineFault(model.id, { refuse: true });
  await t.throwsAsync(call(`${model.address}/health`));
  await fleet.engineFault(model.id, { refuse: false });
  t.is((await call(`${model.address}/health`)).status, 200);
  await fleet.applicationFault('orders-v1-1', { mode: 'not-run' });
  const { address } = fleet.runner('orders-v1-1');
  const operation = { json: { key: 'k', operation: 'reorder' } };
  t.is((await call(`${address}/operations`, operation)).status, 503);
  await fleet.reclaim(model.vmId, { noticeMs: LONG_MS });
  t.is((await call(`${model.address}/load`)).body.leaving, true);
  await fleet.reclaim('entry-1', { noticeMs: 0 });
  while (fleet.pid('entry-1') !== undefined) await new Promise((resolve) => setTimeout(resolve, 5));
  t.is(((await call(`${fleet.platformAddress}/notices`)).body.notices as unknown[]).length, 2);
  await fleet.platformFault({ target: 'notices', mode: 'down' });
  t.is((await call(`${fleet.platformAddress}/notices`)).status, 503);
  await call(`${fleet.platformAddress}/log/s/records`, { json: { id: 'x', body: 1 } });
  t.like(await fleet.log('s'), [{ id: 'x' }]);
});

test.serial(
  'relays isolate a failure domain from the other domains and the platform, and from runners in other domains',
  async (t) => {
    const fleet = await start(t, {
      relays: true,
      runnerRelays: true,
      runners: [{ service: 'quotes', version: 'v1', kind: 'model', count: 2 }],
    });
    const [first, second] = fleet.entries.map((entry) => entry.peerAddress ?? '');
    const [own, other] = fleet.runners.map((runner) => runner.address);
    const platform = fleet.platformAddress;
    const reachability = async () =>
      Promise.all([
        reaches(fleet, 'entry-1', second ?? ''),
        reaches(fleet, 'entry-2', first ?? ''),
        reaches(fleet, 'entry-1', platform),
        reaches(fleet, 'entry-2', platform),
        reaches(fleet, 'entry-1', own ?? ''),
        reaches(fleet, 'entry-1', other ?? ''),
        reaches(fleet, 'entry-2', own ?? ''),
      ]);
    t.deepEqual(await reachability(), [true, true, true, true, true, true, true]);
    t.true(
      (await fleet.links()).every((link) => link.accepted > 0 || link.name.endsWith('quotes-v1-2')),
    );
    await fleet.cutFailureDomain('a');
    t.deepEqual(await reachability(), [false, false, false, true, true, false, false]);
    await fleet.cutFailureDomain('a', 'open');
    t.deepEqual(await reachability(), [true, true, true, true, true, true, true]);
    await fleet.linkFault({ from: ['entry-1'], to: ['platform'] }, 'cut');
    t.deepEqual(await reachability(), [true, true, false, true, true, true, true]);

    const [late] = fleet.entries;
    fleet.pause('entry-1');
    await fleet.kill('entry-1', 'SIGTERM');
    await fleet.startEntries(['entry-1']);
    t.is((await call(`${late?.address ?? ''}/ready`)).body.pid, fleet.pid('entry-1'));
    t.deepEqual(await reachability(), [true, true, false, true, true, true, true]);
  },
);

test('waiting for a process that ends before it is ready rejects with its output', async (t) => {
  const child = new ChildProcess({
    name: 'bad',
    command: process.execPath,
    args: ['-e', 'console.error("no settings"); process.exit(3)'],
  });
  t.teardown(() => child.close());
  const error = await t.throwsAsync(child.firstLine(LONG_MS), { instanceOf: ProcessFailure });
  t.regex(error.output, /no settings/);
  t.is(child.exitCode, 3);
});

test('the command line names links by position and rejects invalid options', async (t) => {
  const run = (...args: readonly string[]) => {
    const child = new ChildProcess({
      name: 'standin',
      command: process.execPath,
      args: ['--import=tsx', STANDINS, ...args],
    });
    t.teardown(() => child.close());
    return child;
  };
  const relay = run('relay', '--listen', '0', '--target', '127.0.0.1:9', '--target', '127.0.0.1:8');
  const ready = JSON.parse(await relay.firstLine(LONG_MS)) as { readonly links: unknown };
  t.like(ready, { ready: true, links: [{ name: 'link-1' }, { name: 'link-2' }] });
  const bad = run('engine', '--runners', '[{"name":"m1"}]');
  const error = await t.throwsAsync(bad.firstLine(LONG_MS), { instanceOf: ProcessFailure });
  t.regex(error.output, /body does not match|Invalid input/);
  t.not(bad.exitCode, 0);
});

test.serial('the programs stop gracefully on SIGTERM', async (t) => {
  const fleet = await start(t, {
    relays: true,
    runners: [
      { service: 'orders', version: 'v1', kind: 'application', count: 1, options: { workMs: 300 } },
    ],
  });
  const { address, process: name } = fleet.runner('orders-v1-1');
  const operation = { json: { key: 'k', operation: 'reorder' } };
  const reply = call(`${address}/operations`, operation);
  while ((await call(`${address}/load`)).body.running === 0);
  await fleet.kill(name, 'SIGTERM');
  t.is((await reply).status, 200);
  await fleet.kill('relay', 'SIGTERM');
  await fleet.kill('platform', 'SIGTERM');
  t.is(fleet.pid('platform'), undefined);
});
