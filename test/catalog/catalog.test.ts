import test from 'ava';
import { selectService, ApiKeyIndex, RouteTable, RunnerDirectory } from '@ragwortrudder/catalog';
import type { Configuration, Route, RunnerEntry } from '@ragwortrudder/catalog';
import { ManualClock } from '@ragwortrudder/core';

const LIMITS = {
  headerBytes: 16_384,
  bodyBytes: 1_000,
  headerTimeoutMs: 1_000,
  idleTimeoutMs: 1_000,
};

function route(name: string, host: string, pathPrefix: string): Route {
  return {
    name,
    host,
    pathPrefix,
    kind: 'idempotent',
    timeoutMs: 1_000,
    latencyTargetMs: 100,
    priority: 0,
    targets: [{ service: 's', weight: 1 }],
    maxAttempts: 2,
    isPublic: false,
    isResumable: false,
    maxGapMs: 0,
  };
}

function configuration(routes: readonly Route[]): Configuration {
  return {
    version: 1,
    routes,
    services: [],
    teams: [{ name: 'buyers', apiKeys: ['k1', 'k2'] }],
    requiresKey: true,
    limits: LIMITS,
  };
}

function runner(id: string, overrides: Partial<RunnerEntry> = {}): RunnerEntry {
  return {
    id,
    service: 's',
    address: { host: '127.0.0.1', port: 1 },
    failureDomain: 'a',
    version: 'v1',
    slots: 4,
    isDraining: false,
    coldMs: 0,
    bornMs: 1,
    isSpot: false,
    ...overrides,
  };
}

test('the longest matching path prefix of the host wins', (t) => {
  const table = new RouteTable(
    configuration([
      route('root', 'a.example', '/'),
      route('short', 'a.example', '/x/'),
      route('long', 'a.example', '/x/y/'),
      route('other', 'b.example', '/x/y/z/'),
    ]),
  );
  t.is(table.find('a.example', '/x/y/z/w')?.name, 'long');
  t.is(table.find('A.Example', '/x/yy')?.name, 'short');
  t.is(table.find('a.example', '/x')?.name, 'root');
  t.is(table.find('b.example', '/x/y/'), undefined);
  t.is(table.find('c.example', '/'), undefined);
});

test('an API key identifies its team by exact match', (t) => {
  const keys = new ApiKeyIndex(configuration([]));
  t.is(keys.find('k2')?.name, 'buyers');
  t.is(keys.find('K2'), undefined);
  t.is(keys.find('k2 '), undefined);
});

test('services of a weighted route are selected by weight, and never with weight 0', (t) => {
  const targets = [
    { service: 'none', weight: 0 },
    { service: 'most', weight: 9 },
    { service: 'few', weight: 1 },
  ];
  t.is(selectService(targets, 0), 'most');
  t.is(selectService(targets, 0.89), 'most');
  t.is(selectService(targets, 0.91), 'few');
  t.is(selectService(targets, 0.999_999), 'few');
  t.is(selectService([{ service: 'none', weight: 0 }], 0.5), undefined);
});

test('an entry that expires during an outage of the list is retained until the list has been available for two seconds', (t) => {
  const clock = new ManualClock();
  const directory = new RunnerDirectory({ clock });
  directory.replaceAll([runner('r1'), runner('r2')]);
  directory.markUnavailable();
  clock.advance(5_000);
  directory.markAvailable();
  directory.replaceAll([]);
  t.is(directory.ofService('s').length, 2);
  clock.advance(1_000);
  directory.put(runner('r1'));
  clock.advance(1_500);
  t.deepEqual(
    directory.ofService('s').map(({ id }) => id),
    ['r1'],
  );
});

test('an entry that is removed while the list is available is dropped immediately', (t) => {
  const clock = new ManualClock();
  const directory = new RunnerDirectory({ clock });
  directory.replaceAll([runner('r1')]);
  directory.markAvailable();
  directory.remove('r1');
  t.deepEqual(directory.ofService('s'), []);
  t.is(directory.size, 0);
});

test('a draining runner that expires during an outage is not retained', (t) => {
  const clock = new ManualClock();
  const directory = new RunnerDirectory({ clock });
  directory.replaceAll([runner('r1', { isDraining: true })]);
  directory.markUnavailable();
  directory.remove('r1');
  t.deepEqual(directory.ofService('s'), []);
});
