import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { CutFleet } from './cut-fleet.ts';
import { limitConcurrency } from './limit-concurrency.ts';
import { ROUTE_KINDS } from './route-kinds.ts';
import { SteadyRunner } from './steady-runner.ts';

const OK = 200;
const REQUESTS = 8;
const EVENTS = 3;
/** Time within which nodes hear each other and lose their links, in milliseconds. */
const HEARING_MS = 1_000;
const LIMITS = {
  max_header_bytes: 40_000,
  max_body_bytes: 100_000,
  header_timeout_ms: 2_000,
  idle_timeout_ms: 5_000,
};
const REQUEST = { headers: { 'X-Long': 'x'.repeat(25_000) }, body: 'x'.repeat(50_000) };
const ROUTE = {
  name: 'route',
  host: 'a.example',
  path_prefix: '/p/',
  timeout_ms: 6_000,
  target_latency_ms: 300,
  service: 's',
  max_attempts: 3,
} as const;
/** Longer than an idle connection between nodes is kept under the lowest idle limit. */
const PAUSES_MS = [0, 0, 0, 120, 250] as const;
/** Includes the time for which a test waits for others of this file, in milliseconds. */
const TEST_TIMEOUT_MS = 115_000;
const takeTurn = limitConcurrency(3);

/** What a peer has in place of the configuration of the node that passes requests on to it. */
const AT_PEER: Readonly<Record<string, (kind: object) => object>> = {
  'no route': () => ({ routes: [] }),
  'no service': () => ({ services: [] }),
  'no team': () => ({ tenants: [] }),
  'another key': () => ({ tenants: [{ name: 'team', api_keys: ['other'] }] }),
  'a lower limit of the team': () => ({
    tenants: [{ name: 'team', api_keys: ['key'], rate_per_s: 0.001, burst: 1 }],
  }),
  'fewer attempts': (kind) => ({ routes: [{ ...ROUTE, ...kind, max_attempts: 1 }] }),
  'a shorter time-out': (kind) => ({ routes: [{ ...ROUTE, ...kind, timeout_ms: 20 }] }),
  'another kind of the route': () => ({ routes: [{ ...ROUTE, kind: 'non_idempotent' }] }),
  'a route to another service': (kind) => ({
    routes: [{ ...ROUTE, ...kind, service: 'other' }],
    services: [{ name: 'other', health_path: '/health', max_connections: 100 }],
  }),
  'a lower limit for bodies': () => ({ limits: { ...LIMITS, max_body_bytes: 1_000 } }),
  'a lower limit for headers': () => ({ limits: { ...LIMITS, max_header_bytes: 100 } }),
  'a shorter time for headers': () => ({ limits: { ...LIMITS, header_timeout_ms: 50 } }),
  'a lower idle limit': () => ({ limits: { ...LIMITS, idle_timeout_ms: 100 } }),
};

for (const kind of ['idempotent', 'once-only', 'stream'] as const) {
  for (const [name, change] of Object.entries(AT_PEER)) {
    // Guards against requests that one node has admitted and that fail at a peer with another configuration (LOST).
    test(`pattern: a ${kind} request is served by a peer that has ${name}`, async (t) => {
      t.timeout(TEST_TIMEOUT_MS);
      await takeTurn(t);
      const runners = await Promise.all(
        [0, 1].map(() =>
          new SteadyRunner({ events: kind === 'stream' ? EVENTS : 0, latencyMs: 60 }).listen(),
        ),
      );
      t.teardown(() => Promise.all(runners.map((runner) => runner.close())));
      const route = { ...ROUTE, ...ROUTE_KINDS[kind] };
      const fleet = await CutFleet.start(t, { runners, gateways: 0, route });
      const node = await fleet.join(t, { limits: LIMITS });
      await fleet.join(t, { limits: LIMITS, ...change(ROUTE_KINDS[kind]) });
      await sleep(HEARING_MS);
      await fleet.setLinks([0], 'cut');
      // Lets the node lose its links.
      await Promise.all([node.call(), node.call()].map((call) => call.catch(() => undefined)));
      await sleep(HEARING_MS);
      for (const pauseMs of PAUSES_MS) {
        await sleep(pauseMs);
        const calls = Array.from({ length: REQUESTS }, () => node.call(REQUEST));
        for (const { status, isComplete } of await Promise.all(calls)) {
          t.is(status, OK);
          t.true(isComplete);
        }
      }
      const runs = runners.flatMap((runner) => [...runner.runs.entries()]);
      if (kind === 'once-only')
        t.true(
          runs.every(([, count]) => count === 1),
          'requests that ran twice',
        );
    });
  }
}
