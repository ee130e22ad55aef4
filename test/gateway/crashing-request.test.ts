import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import { CrashingFleet } from './crashing-fleet.ts';
import { freePort } from './free-port.ts';
import { GatewayHarness } from './gateway-harness.ts';
import type { ReceivedRequest } from './scripted-runner.ts';

interface Scenario {
  readonly name: string;
  readonly route: object;
  readonly method: 'GET' | 'POST';
  readonly respondsFirst: boolean;
}

const CONTACT_MS = 3_000;
/** Arrivals of the crashing request that are allowed later than `CONTACT_MS` after the third crash. */
const MAX_LATE_ARRIVALS = 3;
const SOUND_PERIOD_MS = 25;
const CRASHING_PERIOD_MS = 250;
const SOUND_REQUESTS = 40;
const CRASHING_PATH = '/p/crash';
const SCENARIOS: readonly Scenario[] = [
  {
    name: 'an idempotent request without a body',
    route: { kind: 'idempotent' },
    method: 'GET',
    respondsFirst: false,
  },
  {
    name: 'a request that must not run twice',
    route: { kind: 'non_idempotent', max_attempts: 1 },
    method: 'POST',
    respondsFirst: false,
  },
  {
    name: 'a resumable stream that has begun',
    route: { kind: 'streaming', stream_resume: true },
    method: 'POST',
    respondsFirst: true,
  },
];

function isCrashing({ head }: ReceivedRequest): boolean {
  return head.includes(` ${CRASHING_PATH} `);
}

/** Sends requests in turn to each gateway; returns when each was sent and its status. */
function startTraffic(
  gateways: readonly GatewayHarness[],
  periodMs: number,
  callOf: (index: number) => Parameters<GatewayHarness['call']>[0],
): { readonly close: () => Promise<readonly { readonly at: number; readonly status: number }[]> } {
  const calls: Promise<{ readonly at: number; readonly status: number }>[] = [];
  const timer = setInterval(() => {
    const at = performance.now();
    const gateway = gateways[calls.length % gateways.length];
    if (!gateway) return;
    const call = gateway.call(callOf(calls.length));
    calls.push(call.then(({ status }) => ({ at, status })).catch(() => ({ at, status: 0 })));
  }, periodMs);
  return {
    close: () => {
      clearInterval(timer);
      return Promise.all(calls);
    },
  };
}

async function startFleet(
  t: ExecutionContext,
  { route, respondsFirst }: Scenario,
): Promise<{ readonly fleet: CrashingFleet; readonly gateways: readonly GatewayHarness[] }> {
  const log = new MemoryKeyedLog();
  const fleet = new CrashingFleet({ log, runners: 6, crashes: isCrashing, respondsFirst });
  await fleet.start();
  await GatewayHarness.configure({ log, route: { timeout_ms: 3_000, ...route } });
  const gateways: GatewayHarness[] = [];
  for (const node of ['n1', 'n2', 'n3']) {
    gateways.push(await GatewayHarness.start(t, { log, node, peerPort: await freePort() }));
  }
  t.teardown(() => fleet.close());
  return { fleet, gateways };
}

for (const scenario of SCENARIOS) {
  // Guards against sending one request that crashes runners to one runner after the other (BUDGET).
  test(`pattern: deadly request; ${scenario.name} crashes three runners and then reaches few`, async (t) => {
    const { method } = scenario;
    const { fleet, gateways } = await startFleet(t, scenario);
    await sleep(600);
    const sound = startTraffic(gateways, SOUND_PERIOD_MS, (index) => ({
      method,
      path: `/p/sound${index % SOUND_REQUESTS}`,
    }));
    await sleep(500);
    const crashing = startTraffic(gateways, CRASHING_PERIOD_MS, () => ({
      method,
      path: CRASHING_PATH,
    }));
    while (fleet.crashes.length < 3) await sleep(20);
    const thirdAt = fleet.crashes[2] ?? 0;
    await sleep(thirdAt + 2 * CONTACT_MS + 3_000 - performance.now());
    await crashing.close();
    const answers = await sound.close();
    const late = fleet.arrivals.filter(
      ({ at, request }) => at > thirdAt + CONTACT_MS && isCrashing(request),
    );
    t.true(late.length <= MAX_LATE_ARRIVALS, `${late.length} late arrivals`);
    const since = answers.filter(({ at }) => at > thirdAt + 2 * CONTACT_MS);
    const served = since.filter(({ status }) => status === 200).length;
    t.true(served >= 0.9 * since.length, `${served} of ${since.length} sound requests served`);
  });
}
