import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import { CrashingFleet } from './crashing-fleet.ts';
import { freePort } from './free-port.ts';
import { GatewayHarness } from './gateway-harness.ts';
import { streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';
import type { ReceivedRequest } from './scripted-runner.ts';

const CONTACT_MS = 3_000;
/** Sound requests without which no part is blamed: the service may never have worked. */
const SERVED_BEFORE = 20;
const CRASHING_PART = 'bad';
/** Requests with the crashing part that may still reach runners, by the platform's limit. */
const MAX_LATE_ARRIVALS = 3;

function hasCrashingPart({ head }: ReceivedRequest): boolean {
  return (/prompt-prefix: (\S+)/i.exec(head)?.[1] ?? '').includes(`${CRASHING_PART}:`);
}

interface Traffic {
  readonly served: readonly number[];
  readonly failed: readonly number[];
  readonly close: () => Promise<void>;
}

/** Sends requests at a steady rate, in turn to each gateway, until closed. */
function startTraffic(
  gateways: () => readonly GatewayHarness[],
  periodMs: number,
  partsOf: (index: number) => string,
): Traffic {
  const served: number[] = [];
  const failed: number[] = [];
  const calls: Promise<void>[] = [];
  let sent = 0;
  const timer = setInterval(() => {
    const at = performance.now();
    const index = sent;
    sent += 1;
    const gateway = gateways()[index % gateways().length];
    if (!gateway) return;
    const call = gateway
      .call({ headers: { 'Prompt-Prefix': partsOf(index), 'Token-Usage': '60,10' } })
      .then(({ status, isComplete }) => (status === 200 && isComplete ? served : failed).push(at))
      .catch(() => failed.push(at));
    calls.push(call.then(() => undefined));
  }, periodMs);
  return {
    served,
    failed,
    close: async () => {
      clearInterval(timer);
      await Promise.all(calls);
    },
  };
}

/** Requests that share a part with all others, and one with a third of them. */
function startSoundTraffic(gateways: () => readonly GatewayHarness[]): Traffic {
  return startTraffic(gateways, 25, (index) => `c0:20,c${1 + (index % 3)}:20,5${index}:20`);
}

/** Asserts that nearly all requests sent after a time were served. */
function assertServed(t: ExecutionContext, traffic: Traffic, fromMs: number): void {
  const served = traffic.served.filter((at) => at > fromMs).length;
  const failed = traffic.failed.filter((at) => at > fromMs).length;
  t.true(served >= 0.9 * (served + failed), `${served} served, ${failed} failed`);
}

async function startFleet(t: ExecutionContext): Promise<{
  readonly fleet: CrashingFleet;
  readonly startGateway: (node: string) => Promise<GatewayHarness>;
}> {
  const log = new MemoryKeyedLog();
  const route = { kind: 'streaming', stream_resume: true, timeout_ms: 3_000 };
  const fleet = new CrashingFleet({ log, runners: 6, crashes: hasCrashingPart });
  await fleet.start();
  let isConfigured = false;
  const startGateway = async (node: string): Promise<GatewayHarness> => {
    const options = { log, node, peerPort: await freePort(), route };
    if (!isConfigured) await GatewayHarness.configure(options);
    isConfigured = true;
    return GatewayHarness.start(t, options);
  };
  t.teardown(() => fleet.close());
  return { fleet, startGateway };
}

test('the log line of a broken attempt tells which prompt parts it had and how far its response was', async (t) => {
  const runner = await new ScriptedRunner((socket, request) => {
    socket.write(streamHeadFor(request));
    setTimeout(() => socket.destroy(), 50);
  }).listen();
  const harness = await GatewayHarness.start(t, {
    runners: [runner],
    route: { kind: 'streaming', max_attempts: 1 },
  });
  await harness.call({ headers: { 'Prompt-Prefix': 'aa:10,bb:20,cc:30' } }).catch(() => undefined);
  const line = harness.lines.find((text) => text.includes('"event":"attempt-ended"')) ?? '{}';
  const fields = JSON.parse(line) as Record<string, unknown>;
  t.like(fields, { parts: 'aa,bb,cc', otherRequests: 0, otherKvTokens: 0 });
  t.is(typeof fields.respondingMs, 'number');
  t.regex(String(fields.fingerprint), /^[0-9a-f]{16}$/);
});

// Guards against sending requests that crash runners on to one runner after the other (BUDGET).
test('requests with a part that crashed five runners no longer reach runners, and other requests are served', async (t) => {
  t.timeout(60_000);
  const { fleet, startGateway } = await startFleet(t);
  const gateways = [await startGateway('n1'), await startGateway('n2')];
  await sleep(600);
  const sound = startSoundTraffic(() => gateways);
  while (sound.served.length < SERVED_BEFORE) await sleep(20);
  const crashing = startTraffic(
    () => gateways,
    300,
    (index) => `c0:20,bad:20,6${index}:20`,
  );
  while (fleet.crashes.length < 5) await sleep(20);
  const fifthAt = fleet.crashes[4] ?? 0;
  await sleep(1_500);
  gateways.push(await startGateway('n3'));
  await sleep(fifthAt + 2 * CONTACT_MS + 2_000 - performance.now());
  await crashing.close();
  await sound.close();
  const late = fleet.arrivals.filter(
    ({ at, request }) => at > fifthAt + CONTACT_MS && hasCrashingPart(request),
  );
  t.true(late.length <= MAX_LATE_ARRIVALS, `${late.length} late arrivals`);
  assertServed(t, sound, fifthAt + 2 * CONTACT_MS);
});

// Guards against blaming a part that many requests share when several runners end together (LOST).
test('runners that end together do not stop requests that share prompt parts', async (t) => {
  t.timeout(60_000);
  const { fleet, startGateway } = await startFleet(t);
  const gateways = [await startGateway('n1'), await startGateway('n2')];
  await sleep(600);
  const sound = startSoundTraffic(() => gateways);
  for (let wave = 0; wave < 3; wave += 1) {
    await sleep(1_000);
    fleet.crashTogether(3);
  }
  await sleep(1_500);
  const from = performance.now();
  await sleep(1_500);
  await sound.close();
  assertServed(t, sound, from);
});
