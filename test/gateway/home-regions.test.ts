import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import { CutFleet } from './cut-fleet.ts';
import { freePort } from './free-port.ts';
import { GatewayHarness } from './gateway-harness.ts';
import { SteadyRunner } from './steady-runner.ts';

const OK = 200;
const UNAVAILABLE = 503;
const REGIONS = { domainRegions: { a: 'north', b: 'south', c: 'east' } };
/** Failure domains of the runners; the region of the last one is not known. */
const DOMAINS = ['a', 'b', 'c', 'd'];
const HEARING_MS = 1_000;

interface Fleet {
  readonly runners: readonly SteadyRunner[];
  readonly gateways: readonly GatewayHarness[];
  readonly writer: GatewayHarness;
}

function route(name: string, change: object): object {
  return {
    name,
    host: 'a.example',
    path_prefix: `/${name}/`,
    kind: 'idempotent',
    timeout_ms: 8_000,
    service: 's',
    max_attempts: 3,
    ...change,
  };
}

async function startFleet(t: ExecutionContext, events = 0): Promise<Fleet> {
  const log = new MemoryKeyedLog();
  const runners = await Promise.all(DOMAINS.map(() => new SteadyRunner({ events }).listen()));
  t.teardown(() => Promise.all(runners.map((runner) => runner.close())));
  const writer = GatewayHarness.writerFor(log);
  const stream = events > 0 ? { kind: 'streaming', stream_resume: true } : {};
  await writer.configure({
    routes: [
      route('anywhere', stream),
      route('home', { ...stream, allowed_regions: ['north', 'south'] }),
      route('empty', { ...stream, allowed_regions: [] }),
      route('odd', { ...stream, allowed_regions: 'north' }),
      route('nowhere', { ...stream, allowed_regions: [7, null] }),
    ],
    tenants: [
      { name: 'team', api_keys: ['key'] },
      { name: 'south', api_keys: ['south'], allowed_regions: ['south', 'east'] },
      { name: 'east', api_keys: ['east'], allowed_regions: ['east'] },
    ],
  });
  for (const [index, { port }] of runners.entries()) {
    await writer.registerRunner(`r${index}`, port, { zone: DOMAINS[index] });
  }
  const gateways: GatewayHarness[] = [];
  for (const failureDomain of ['a', 'b', 'c']) {
    const options = { log, node: `n-${failureDomain}`, failureDomain, regions: REGIONS };
    gateways.push(await GatewayHarness.start(t, { ...options, peerPort: await freePort() }));
  }
  return { runners, gateways, writer };
}

/** Sends requests to each gateway; returns their statuses and the failure domains that got any. */
async function send(
  { runners, gateways }: Fleet,
  path: string,
  key: string,
): Promise<{ readonly statuses: readonly number[]; readonly domains: readonly string[] }> {
  const before = runners.map(({ heads }) => heads.length);
  const calls = gateways.flatMap((gateway) =>
    Array.from({ length: 20 }, () =>
      gateway.call({ path: `/${path}/x`, headers: { 'X-Api-Key': key } }),
    ),
  );
  const replies = await Promise.all(calls);
  return {
    statuses: [...new Set(replies.map(({ status }) => status))],
    domains: DOMAINS.filter((_domain, index) => {
      return (runners[index]?.heads.length ?? 0) > (before[index] ?? 0);
    }),
  };
}

// Guards against requests that reach a runner outside their home regions (data residency).
test('load: requests reach runners in the home regions of their route and their team only', async (t) => {
  const fleet = await startFleet(t);
  t.deepEqual(await send(fleet, 'anywhere', 'key'), { statuses: [OK], domains: DOMAINS });
  t.deepEqual(await send(fleet, 'empty', 'key'), { statuses: [OK], domains: DOMAINS });
  t.deepEqual(await send(fleet, 'odd', 'key'), { statuses: [OK], domains: DOMAINS });
  t.deepEqual(await send(fleet, 'home', 'key'), { statuses: [OK], domains: ['a', 'b'] });
  t.deepEqual(await send(fleet, 'anywhere', 'south'), { statuses: [OK], domains: ['b', 'c'] });
  t.deepEqual(await send(fleet, 'home', 'south'), { statuses: [OK], domains: ['b'] });
  t.deepEqual(await send(fleet, 'home', 'east'), { statuses: [UNAVAILABLE], domains: [] });
  t.deepEqual(await send(fleet, 'nowhere', 'key'), { statuses: [UNAVAILABLE], domains: [] });
  const lines = fleet.gateways.flatMap((gateway) => gateway.lines);
  const refused = lines.filter((line) => line.includes('request-refused'));
  t.true(refused.length > 0);
  t.true(refused.every((line) => line.includes('"no-runner"')));
  t.true(refused.every((line) => line.includes('"runnersElsewhere":4')));
  const paths = lines.filter((line) => line.includes('configuration-value-ignored'));
  t.is(paths.length, 2 * fleet.gateways.length);
  const unknown = lines.filter((line) => line.includes('"topic":"domainRegions"'));
  t.is(unknown.length, fleet.gateways.length, 'each node logs the unknown region once');
});

// Guards against retries and resumed streams that go to a runner outside the home regions.
test('failure: when the runners of the home regions fail, requests and streams go nowhere else', async (t) => {
  const fleet = await startFleet(t, 30);
  const [north, south, east, unknown] = fleet.runners;
  const [gateway] = fleet.gateways;
  if (!north || !south || !east || !unknown || !gateway) throw new TypeError('nothing was started');
  const call = (): ReturnType<GatewayHarness['call']> => gateway.call({ path: '/home/x' });
  const streams = Array.from({ length: 10 }, () => call());
  await sleep(300);
  await north.close();
  const resumed = await Promise.all(streams);
  t.true(resumed.some(({ isComplete }) => isComplete));
  const started = Array.from({ length: 10 }, () => call());
  await sleep(300);
  await south.close();
  await Promise.all(started);
  const sentAt = performance.now();
  const { status } = await call();
  t.not(status, OK);
  t.true(performance.now() - sentAt < 3_000);
  t.is(east.heads.length, 0);
  t.is(unknown.heads.length, 0);
});

// Guards against the body of a request that is sent to a node outside the home regions.
for (const [name, own, isServed] of [
  ['goes to a peer in a home region', 'c', true],
  ['goes to a peer in the region of the first node', 'b', true],
  ['does not go to a peer elsewhere', 'x', false],
] as const) {
  test(`a request with home regions at a node without links ${name}`, async (t) => {
    const runner = await new SteadyRunner({ events: 0 }).listen();
    t.teardown(() => runner.close());
    // The first node has lost its links; the second one is south, the third one, if any, north.
    const domains = [own, 'b', ...(own === 'c' ? ['a'] : [])];
    const fleet = await CutFleet.start(t, {
      runners: [runner],
      gateways: domains.length,
      route: { allowed_regions: ['north'] },
      optionsOf: (index) => {
        return { failureDomain: domains[index] ?? 'a', regions: REGIONS };
      },
    });
    await sleep(HEARING_MS);
    await fleet.setLinks([0], 'cut');
    await sleep(HEARING_MS);
    const [first, south] = fleet.gateways;
    const statuses: number[] = [];
    for (let sent = 0; sent < 6; sent += 1) statuses.push((await first?.call())?.status ?? 0);
    t.is(
      statuses.every((status) => status === OK),
      isServed,
      statuses.join(),
    );
    if (!isServed) t.true(statuses.every((status) => status === UNAVAILABLE));
    const received = south?.lines.filter((line) => line.includes('request-received-from-peer'));
    t.is((received?.length ?? 0) > 0, own === 'b');
  });
}
