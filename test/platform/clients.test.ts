import test from 'ava';
import {
  CloudApi,
  NotFound,
  PlatformRateExceeded,
  PlatformUnavailable,
  UnexpectedAnswer,
  VmDirectory,
  VmRefused,
  WeightStore,
} from '@ragwortrudder/platform';
import type { VmRequest } from '@ragwortrudder/platform';
import { TestServer } from './server.ts';
import type { Handler } from './server.ts';

const REQUEST: VmRequest = {
  requestId: 'r1',
  failureDomain: 'brno',
  machineClass: 'large',
  reclaimable: true,
  labels: { service: 'quotes' },
};

const VM = {
  id: 'vm-1',
  role: 'endpoint',
  failureDomain: 'brno',
  machineClass: 'large',
  reclaimable: true,
  state: 'live',
  address: '127.0.0.1:1',
  labels: { service: 'quotes', version: 'v1', kind: 'model' },
};

async function withCloud(
  handler: Handler,
  run: (cloud: CloudApi, server: TestServer) => Promise<void>,
): Promise<void> {
  const server = await TestServer.start(handler);
  const cloud = new CloudApi({ baseUrl: server.url, timeoutMs: 2_000, lookupDelayMs: 1 });
  try {
    await run(cloud, server);
  } finally {
    await cloud.close();
    await server.close();
  }
}

test('starts a VM and sends the complete request', async (t) => {
  await withCloud(
    () => ({ status: 201, body: { id: 'vm-1' } }),
    async (cloud, server) => {
      t.is(await cloud.startVm(REQUEST), 'vm-1');
      t.deepEqual(server.requests[0]?.body, REQUEST);
    },
  );
});

test('after a lost reply the VM is looked up by request id, and the start is sent only once', async (t) => {
  let lookups = 0;
  const handler: Handler = ({ method }) => {
    if (method === 'POST') return 'drop';
    lookups += 1;
    return lookups < 2 ? { status: 404 } : { status: 200, body: { id: 'vm-1' } };
  };
  await withCloud(handler, async (cloud, server) => {
    t.is(await cloud.startVm(REQUEST), 'vm-1');
    t.deepEqual(
      server.requests.map(({ method, url }) => `${method} ${url}`),
      ['POST /vms', 'GET /vms/requests/r1', 'GET /vms/requests/r1'],
    );
  });
});

test('a start whose outcome stays unknown fails without notRun', async (t) => {
  const handler: Handler = ({ method }) => (method === 'POST' ? 'drop' : { status: 404 });
  await withCloud(handler, async (cloud, server) => {
    const failure = await t.throwsAsync(cloud.startVm(REQUEST), {
      instanceOf: PlatformUnavailable,
    });
    t.false(failure.notRun);
    t.is(server.requests.filter(({ method }) => method === 'POST').length, 1);
  });
});

test('a start that is refused or rate-limited is not looked up', async (t) => {
  const statuses = [409, 429];
  const handler: Handler = () => ({
    status: statuses.shift() ?? 500,
    headers: { 'retry-after': '1' },
  });
  await withCloud(handler, async (cloud, server) => {
    await t.throwsAsync(cloud.startVm(REQUEST), { instanceOf: VmRefused });
    const rate = await t.throwsAsync(cloud.startVm(REQUEST), { instanceOf: PlatformRateExceeded });
    t.is(rate.retryAfterMs, 1_000);
    t.is(server.requests.length, 2);
  });
});

test('stops a VM; a VM that no longer exists counts as stopped', async (t) => {
  const statuses = [200, 404, 503];
  await withCloud(
    () => ({ status: statuses.shift() ?? 500 }),
    async (cloud) => {
      await t.notThrowsAsync(cloud.stopVm('vm-1'));
      await t.notThrowsAsync(cloud.stopVm('vm-1'));
      await t.throwsAsync(cloud.stopVm('vm-1'), { instanceOf: PlatformUnavailable });
    },
  );
});

test('reads notices and prices, and rejects answers that do not match the schema', async (t) => {
  const page = { notices: [{ seq: 3, vmId: 'vm-1', deadline: 9 }], next: 3 };
  const prices = [
    { failureDomain: 'brno', machineClass: 'large', reclaimable: true, pricePerHour: 0.5 },
  ];
  const handler: Handler = ({ url }) => {
    if (url === '/notices?after=2') return { status: 200, body: page };
    if (url.startsWith('/notices')) return { status: 200, body: { notices: [{ seq: 'x' }] } };
    return { status: 200, body: { prices } };
  };
  await withCloud(handler, async (cloud) => {
    t.deepEqual(await cloud.notices(2), page);
    t.deepEqual(await cloud.prices(), prices);
    const failure = await t.throwsAsync(cloud.notices(4), { instanceOf: UnexpectedAnswer });
    t.true(failure.problems.length > 1);
  });
});

test('lists VMs', async (t) => {
  const server = await TestServer.start(() => ({ status: 200, body: { vms: [VM] } }));
  const directory = new VmDirectory({ baseUrl: server.url });
  t.deepEqual(await directory.list(), [VM] as never);
  await directory.close();
  await server.close();
});

test('reads the weight store and reports its rate limit', async (t) => {
  const server = await TestServer.start(({ url }) => {
    if (url === '/weights/known') return { status: 200, body: { name: 'known' } };
    if (url === '/weights/busy') return { status: 429, headers: { 'retry-after': '3' } };
    return { status: 404 };
  });
  const store = new WeightStore({ baseUrl: server.url });
  t.deepEqual(await store.describe('known'), { name: 'known' });
  const rateExceeded = await t.throwsAsync(store.describe('busy'), {
    instanceOf: PlatformRateExceeded,
  });
  t.is(rateExceeded.retryAfterMs, 3_000);
  await t.throwsAsync(store.describe('other'), { instanceOf: NotFound });
  await store.close();
  await server.close();
});
