import test from 'ava';
import type { ExecutionContext } from 'ava';
import { ManualClock } from '@ragwortrudder/core';
import {
  EngineRunner,
  LaggingValue,
  Platform,
  RateLimit,
  RunnerHost,
} from '@ragwortrudder/standins';
import type { PlatformOptions } from '@ragwortrudder/standins';
import { call } from './call.ts';

const LONG_MS = 3_600_000;
const SINGLE_CALL_RATE = 0.000_001;
const vm = { failureDomain: 'a', machineClass: 'standard', reclaimable: true, labels: {} };

async function start(t: ExecutionContext, options: PlatformOptions = {}): Promise<string> {
  const platform = new Platform({ cloudCallsPerSecond: 1000, ...options });
  await platform.listen();
  t.teardown(() => platform.close());
  return platform.address;
}

test('log: records get consecutive offsets and records with equal ids are all kept', async (t) => {
  const address = await start(t);
  for (const [offset, id] of ['x', 'y', 'x'].entries()) {
    const reply = await call(`${address}/log/s/records`, { json: { id, body: { offset } } });
    t.deepEqual([reply.status, reply.body], [201, { offset }]);
  }
  const page = await call(`${address}/log/s/records?from=1&limit=1`);
  t.like(page.body, { records: [{ offset: 1, id: 'y', body: { offset: 1 } }], next: 2, first: 0 });
  const end = await call(`${address}/log/s/records?from=3`);
  t.deepEqual(end.body, { records: [], next: 3, first: 0 });
});

test('log: streams are separate', async (t) => {
  const address = await start(t);
  await call(`${address}/log/s/records`, { json: { id: 'x', body: 1 } });
  t.deepEqual((await call(`${address}/log/other/records?from=0`)).body.records, []);
});

test('log: a record above the size limit is rejected and not stored', async (t) => {
  const address = await start(t, { recordLimitBytes: 100 });
  const big = await call(`${address}/log/s/records`, { json: { id: 'x', body: 'b'.repeat(99) } });
  t.is(big.status, 413);
  const fits = await call(`${address}/log/s/records`, { json: { id: 'x', body: 'b'.repeat(98) } });
  t.deepEqual([fits.status, fits.body], [201, { offset: 0 }]);
});

test('log: appends above the rate limit are rejected with Retry-After and not stored', async (t) => {
  const address = await start(t, { appendsPerSecond: SINGLE_CALL_RATE });
  t.is((await call(`${address}/log/s/records`, { json: { id: 'x', body: 1 } })).status, 201);
  const refused = await call(`${address}/log/s/records`, { json: { id: 'y', body: 1 } });
  t.is(refused.status, 429);
  t.truthy(refused.headers['retry-after']);
  t.is((await call(`${address}/log/s/records?from=0`)).body.next, 1);
});

test('log: reads of expired records return the first offset, and the dump has all records', async (t) => {
  const address = await start(t);
  for (const id of ['x', 'y', 'z']) {
    await call(`${address}/log/s/records`, { json: { id, body: id } });
  }
  await call(`${address}/control/retention`, { json: { count: 1 } });
  const gone = await call(`${address}/log/s/records?from=0`);
  t.is(gone.status, 410);
  t.like(gone.body, { first: 2, next: 3 });
  t.like((await call(`${address}/log/s/records?from=2`)).body, { records: [{ id: 'z' }] });
  t.is(((await call(`${address}/control/log/s`)).body.records as unknown[]).length, 3);
});

test('log: a waiting read is answered by the next append', async (t) => {
  const address = await start(t);
  const read = call(`${address}/log/s/records?from=0&waitMs=30000`);
  await call(`${address}/log/s/records`, { json: { id: 'x', body: 1 } });
  t.like((await read).body, { records: [{ id: 'x' }], next: 1 });
});

test('log: malformed records are rejected', async (t) => {
  const address = await start(t);
  t.is((await call(`${address}/log/s/records`, { json: { body: 1 } })).status, 400);
  t.is((await call(`${address}/log/s/records?from=0`)).body.next, 0);
});

test('fault down: the given number of calls are answered with 503 and have no effect', async (t) => {
  const address = await start(t);
  const fault = { target: 'log.append', mode: 'down', count: 1 };
  await call(`${address}/control/faults`, { json: fault });
  t.is((await call(`${address}/log/s/records`, { json: { id: 'x', body: 1 } })).status, 503);
  const after = await call(`${address}/log/s/records`, { json: { id: 'y', body: 1 } });
  t.deepEqual([after.status, after.body], [201, { offset: 0 }]);
});

test('fault reply-lost: the call takes effect and the connection is destroyed', async (t) => {
  const address = await start(t);
  await call(`${address}/control/faults`, {
    json: { target: 'log.append', mode: 'reply-lost', count: 1 },
  });
  await t.throwsAsync(call(`${address}/log/s/records`, { json: { id: 'x', body: 1 } }));
  t.like((await call(`${address}/log/s/records?from=0`)).body, { records: [{ id: 'x' }] });
});

test('fault hang: the call gets no reply and has no effect', async (t) => {
  const address = await start(t);
  await call(`${address}/control/faults`, {
    json: { target: 'log.append', mode: 'hang', count: 1 },
  });
  const abort = new AbortController();
  const hung = call(`${address}/log/s/records`, {
    json: { id: 'x', body: 1 },
    signal: abort.signal,
  });
  let after = await call(`${address}/log/s/records?from=0`);
  await call(`${address}/log/s/records`, { json: { id: 'y', body: 1 } });
  after = await call(`${address}/log/s/records?from=0`);
  abort.abort();
  await t.throwsAsync(hung);
  t.like(after.body, { next: 1 });
});

test('fault slow: a call of another interface completes before the slow one', async (t) => {
  const address = await start(t);
  await call(`${address}/control/faults`, { json: { target: 'vms', mode: 'slow', delayMs: 1000 } });
  const order: string[] = [];
  const slow = call(`${address}/vms`).then((reply) => {
    order.push('slow');
    return reply;
  });
  await call(`${address}/prices`);
  order.push('other');
  t.is((await slow).status, 200);
  t.deepEqual(order, ['other', 'slow']);
});

test('a fault of one interface does not affect the others', async (t) => {
  const address = await start(t);
  const paths = {
    'log.read': '/log/s/records',
    vms: '/vms',
    notices: '/notices',
    weights: '/weights/w',
  };
  for (const [target, path] of Object.entries(paths)) {
    await call(`${address}/control/faults`, { json: { target, mode: 'down' } });
    for (const [other, otherPath] of Object.entries(paths)) {
      const { status } = await call(`${address}${otherPath}`);
      t.is(status, other === target ? 503 : 200, `${target} at ${path}: ${other}`);
    }
    await call(`${address}/control/faults`, { json: { target, mode: 'ok' } });
  }
});

test('cloud: starting a VM is idempotent per request id', async (t) => {
  const address = await start(t);
  const first = await call(`${address}/vms`, { json: { requestId: 'r1', ...vm } });
  const again = await call(`${address}/vms`, { json: { requestId: 'r1', ...vm } });
  const other = await call(`${address}/vms`, { json: { requestId: 'r2', ...vm } });
  t.deepEqual([first.status, again.status], [201, 201]);
  t.deepEqual(first.body, again.body);
  t.notDeepEqual(first.body, other.body);
  t.deepEqual((await call(`${address}/vms/requests/r1`)).body, first.body);
  t.is((await call(`${address}/vms/requests/r3`)).status, 404);
});

test('cloud: a VM whose start reply was lost is found by its request id', async (t) => {
  const address = await start(t);
  await call(`${address}/control/faults`, {
    json: { target: 'cloud', mode: 'reply-lost', count: 1 },
  });
  await t.throwsAsync(call(`${address}/vms`, { json: { requestId: 'r1', ...vm } }));
  t.is((await call(`${address}/vms/requests/r1`)).status, 200);
});

test('cloud: rejects starts above capacity until a VM is stopped', async (t) => {
  const address = await start(t);
  await call(`${address}/control/capacity`, { json: { failureDomain: 'a', capacity: 1 } });
  const first = await call(`${address}/vms`, { json: { requestId: 'r1', ...vm } });
  t.is((await call(`${address}/vms`, { json: { requestId: 'r2', ...vm } })).status, 409);
  t.is((await call(`${address}/vms/requests/r2`)).status, 404);
  const inOther = { requestId: 'r3', ...vm, failureDomain: 'b' };
  t.is((await call(`${address}/vms`, { json: inOther })).status, 201);
  await call(`${address}/vms/${String(first.body.id)}`, { method: 'DELETE' });
  t.is((await call(`${address}/vms`, { json: { requestId: 'r2', ...vm } })).status, 201);
});

test('cloud and weight store: calls above the rate limit are rejected', async (t) => {
  const address = await start(t, {
    cloudCallsPerSecond: SINGLE_CALL_RATE,
    weightReadsPerSecond: SINGLE_CALL_RATE,
  });
  t.is((await call(`${address}/vms`, { json: { requestId: 'r1', ...vm } })).status, 201);
  t.is((await call(`${address}/vms`, { json: { requestId: 'r2', ...vm } })).status, 429);
  t.is((await call(`${address}/weights/w`)).status, 200);
  t.is((await call(`${address}/weights/w`)).status, 429);
});

test('list of VMs: a VM appears after the lag unless it is registered with atOnce', async (t) => {
  const address = await start(t, { vmLagMs: LONG_MS });
  await call(`${address}/control/vms`, { json: { id: 'late', failureDomain: 'a' } });
  await call(`${address}/control/vms`, { json: { id: 'now', failureDomain: 'a', atOnce: true } });
  t.like((await call(`${address}/vms`)).body, { vms: [{ id: 'now', state: 'live' }] });
  t.is(((await call(`${address}/control/vms`)).body.vms as unknown[]).length, 2);
});

test('reclaim: issues a notice, informs the runner, and the list of VMs changes after its lag', async (t) => {
  const address = await start(t, { vmLagMs: LONG_MS });
  const runner = new EngineRunner({ id: 'm1' });
  await runner.listen();
  t.teardown(() => runner.close());
  const record = { id: 'vm1', failureDomain: 'a', address: runner.address, atOnce: true };
  await call(`${address}/control/vms`, { json: record });
  const reclaim = { vmId: 'vm1', noticeMs: LONG_MS };
  t.is((await call(`${address}/control/reclaim`, { json: reclaim })).status, 200);
  t.like((await call(`${address}/notices?after=0`)).body, {
    notices: [{ seq: 1, vmId: 'vm1' }],
    next: 1,
  });
  t.deepEqual((await call(`${address}/notices?after=1`)).body, { notices: [], next: 1 });
  t.like((await call(`${address}/vms`)).body, { vms: [{ state: 'live' }] });
  t.like((await call(`${address}/control/vms`)).body, { vms: [{ state: 'leaving' }] });
  t.is((await call(`${runner.address}/load`)).body.leaving, true);
});

test('reclaim: stops the runner at the deadline and removes the VM', async (t) => {
  const address = await start(t, { vmLagMs: 0 });
  const runner = new EngineRunner({ id: 'm1' });
  await runner.listen();
  t.teardown(() => runner.close());
  const record = { id: 'vm1', failureDomain: 'a', address: runner.address };
  await call(`${address}/control/vms`, { json: record });
  await call(`${address}/control/reclaim`, { json: { vmId: 'vm1', noticeMs: 0 } });
  await t.throwsAsync(async () => {
    for (;;) await call(`${runner.address}/health`);
  });
  t.deepEqual((await call(`${address}/vms`)).body, { vms: [] });
});

test('cloud: a started VM gets a matching spare runner, which stops with the VM', async (t) => {
  const address = await start(t, { vmLagMs: 0 });
  const runner = new EngineRunner({ id: 'm1' });
  const host = new RunnerHost([runner], () => ({}));
  await host.listen();
  t.teardown(() => host.close());
  const labels = { service: 'quotes', version: 'v1' };
  const control = `http://127.0.0.1:${host.port}/control/runners/m1`;
  const spares = [{ failureDomain: 'a', address: runner.address, control, labels }];
  t.is((await call(`${address}/control/spares`, { json: { spares } })).status, 200);
  await t.throwsAsync(call(`${runner.address}/health`), { message: /ECONNREFUSED/ });

  const reached = async () => {
    const reply = await call(`${runner.address}/health`).catch(() => undefined);
    return reply?.status === 200;
  };
  const waitUntilReachable = async (expected: boolean) => {
    while ((await reached()) !== expected) await new Promise((resolve) => setTimeout(resolve, 5));
  };
  const listedAddresses = async () => {
    const { body } = await call(`${address}/vms`);
    return (body.vms as { readonly address: string }[]).map((record) => record.address);
  };
  const other = { ...vm, labels: { ...labels, version: 'v2' } };
  await call(`${address}/vms`, { json: { requestId: 'r1', ...other } });
  t.deepEqual(await listedAddresses(), ['']);
  const { body } = await call(`${address}/vms`, { json: { requestId: 'r2', ...vm, labels } });
  await waitUntilReachable(true);
  t.deepEqual(await listedAddresses(), ['', runner.address]);
  await call(`${address}/vms/${String(body.id)}`, { method: 'DELETE' });
  await waitUntilReachable(false);
  await call(`${address}/vms`, { json: { requestId: 'r3', ...vm, labels } });
  await waitUntilReachable(true);
  t.deepEqual(await listedAddresses(), ['', runner.address]);
});

test('rate limit: refills over time up to the burst size', (t) => {
  const clock = new ManualClock();
  const limit = new RateLimit(2, clock);
  const takes = () => [limit.take(), limit.take(), limit.take()];
  t.deepEqual(takes(), [true, true, false]);
  clock.advance(500);
  t.deepEqual(takes(), [true, false, false]);
  clock.advance(60_000);
  t.deepEqual(takes(), [true, true, false]);
});

test('lagging value: readers see each state after the lag', (t) => {
  const clock = new ManualClock();
  const value = new LaggingValue('a', 100, clock);
  value.set('b');
  clock.advance(60);
  value.set('c');
  clock.advance(39);
  t.is(value.get(), 'a');
  clock.advance(1);
  t.is(value.get(), 'b');
  t.is(value.latest(), 'c');
  clock.advance(60);
  t.is(value.get(), 'c');
});
