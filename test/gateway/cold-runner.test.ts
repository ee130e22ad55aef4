import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import type { KeyedLog } from '@ragwortrudder/log';
import { DelayedRunner } from './delayed-runner.ts';
import { freePort } from './free-port.ts';
import { GatewayHarness } from './gateway-harness.ts';
import { headFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';
import type { ReceivedRequest } from './scripted-runner.ts';
import { UnheardPeersLog } from './unheard-peers-log.ts';

const COLD_PER_S = 4;
const COLD_BOUND = { overage: 1.5, slack: 5 } as const;
const MOST_IN_SECOND = COLD_PER_S * COLD_BOUND.overage + COLD_BOUND.slack;
const SECOND_MS = 1_000;
const PERIOD_MS = 10;
const RESPONSE_MS = 100;
const WARMUP_S = 5;
const SERVICES = {
  services: [
    {
      name: 's',
      health_path: '/health',
      max_connections: 1_000,
      warmup_s: WARMUP_S,
      cold_per_s: COLD_PER_S,
    },
  ],
};
/** Time in which nodes know each other after the last one has started, in milliseconds. */
const SETTLED_MS = 2_500;

/** Runner that can state in its responses that it is cold. */
class ColdRunner extends DelayedRunner {
  coldMs: number | undefined;

  arrivalsBetween(from: number, to: number): number {
    return this.arrivals.filter(({ at }) => at >= from && at < to).length;
  }

  /** Most arrivals in a second that begins and ends between two times. */
  mostInSecond(from: number, to: number): number {
    const starts = this.arrivals.filter(({ at }) => at >= from && at + SECOND_MS <= to);
    return Math.max(0, ...starts.map(({ at }) => this.arrivalsBetween(at, at + SECOND_MS)));
  }

  protected respond(socket: Socket, request: ReceivedRequest): void {
    const cold = this.coldMs === undefined ? [] : [`Cold-Ms: ${this.coldMs}`];
    socket.write(`${headFor(request, { framing: ['Content-Length: 2', ...cold] })}ok`);
  }
}

interface Fleet {
  readonly log: MemoryKeyedLog;
  readonly writer: GatewayHarness;
  readonly warm: readonly ColdRunner[];
  readonly cold: ColdRunner;
  readonly gateways: readonly GatewayHarness[];
  readonly start: (node: string) => Promise<void>;
}

async function startFleet(
  t: ExecutionContext,
  count: number,
  logFor: (log: KeyedLog, node: string) => KeyedLog = (log) => log,
): Promise<Fleet> {
  const log = new MemoryKeyedLog();
  const runners = await Promise.all([0, 1, 2].map(() => new ColdRunner(RESPONSE_MS).listen()));
  t.teardown(() => Promise.all(runners.map((runner) => runner.close())));
  const [cold, ...warm] = runners;
  if (!cold) throw new TypeError('no runner was started');
  const writer = GatewayHarness.writerFor(log);
  await writer.configure(SERVICES);
  for (const [index, { port }] of warm.entries()) await writer.registerRunner(`w${index}`, port);
  const gateways: GatewayHarness[] = [];
  const start = async (node: string): Promise<void> => {
    const options = { node, peerPort: await freePort(), coldRunners: COLD_BOUND };
    gateways.push(await GatewayHarness.start(t, { ...options, log: logFor(log, node) }));
  };
  for (let index = 0; index < count; index += 1) await start(`n${index}`);
  return { log, writer, warm, cold, gateways, start };
}

function startTraffic(gateways: readonly GatewayHarness[]): {
  readonly counts: () => { readonly sent: number; readonly served: number };
  readonly close: () => Promise<void>;
} {
  const counts = { sent: 0, served: 0 };
  const calls: Promise<void>[] = [];
  const timer = setInterval(() => {
    const gateway = gateways[counts.sent % gateways.length];
    counts.sent += 1;
    const call = gateway?.call().then(({ status }) => {
      counts.served += status === 200 ? 1 : 0;
    });
    if (call) calls.push(call);
  }, PERIOD_MS);
  return {
    counts: () => counts,
    close: async () => {
      clearInterval(timer);
      await Promise.all(calls);
    },
  };
}

/** Registers the runner as cold for `coldMs`, renews its entry and returns when it is warm. */
async function warmUp({ writer, cold }: Fleet, coldMs: number): Promise<number> {
  const warmAt = performance.now() + coldMs;
  for (;;) {
    const remaining = Math.max(0, Math.round(warmAt - performance.now()));
    await writer.registerRunner('cold', cold.port, { cold_remaining_ms: remaining });
    if (remaining === 0) return warmAt;
    await sleep(Math.min(600, remaining));
  }
}

// Guards against more requests than a cold runner bears from all nodes together (crash of the runner).
test('load: a runner that starts cold gets no more than its bound, and its full share when it is warm', async (t) => {
  t.timeout(60_000);
  const fleet = await startFleet(t, 6);
  const { cold, gateways, start } = fleet;
  await sleep(SETTLED_MS);
  const traffic = startTraffic(gateways);
  await sleep(500);
  const joined = sleep(1_500).then(() => start('joined'));
  const warmAt = await warmUp(fleet, WARMUP_S * 1_000);
  await joined;
  await sleep(3_000);
  cold.coldMs = WARMUP_S * 1_000;
  const coldAgainAt = performance.now();
  await sleep(4_000);
  await traffic.close();
  const most = cold.mostInSecond(0, warmAt);
  t.true(most <= MOST_IN_SECOND, `${most} requests in a second`);
  const whileCold = cold.arrivalsBetween(0, warmAt);
  t.true(whileCold >= 0.5 * COLD_PER_S * WARMUP_S, `${whileCold} requests while cold`);
  const whileWarm = cold.arrivalsBetween(warmAt + 1_000, warmAt + 2_000);
  t.true(whileWarm >= 15, `${whileWarm} requests in a second when warm`);
  const again = cold.mostInSecond(coldAgainAt + 1_000, coldAgainAt + 4_000);
  t.true(again <= MOST_IN_SECOND, `${again} requests in a second when cold again`);
  const { sent, served } = traffic.counts();
  t.true(served >= 0.98 * sent, `${served} of ${sent}`);
  const lines = gateways.flatMap(({ lines }) => lines);
  t.true(lines.some((line) => line.includes('"runner-cold"')));
  t.true(lines.some((line) => line.includes('"runner-warm"')));
});

// Guards against nodes that do not hear each other and each take all of the limit.
test('failure: nodes that never hear each other keep to the bound of a cold runner together', async (t) => {
  t.timeout(60_000);
  const fleet = await startFleet(t, 4, (log, node) => new UnheardPeersLog(log, node));
  await sleep(SETTLED_MS);
  const traffic = startTraffic(fleet.gateways);
  const warmAt = await warmUp(fleet, WARMUP_S * 1_000);
  await traffic.close();
  const most = fleet.cold.mostInSecond(0, warmAt);
  t.true(most <= MOST_IN_SECOND, `${most} requests in a second`);
});

// Guards against callers of a service without capacity that come back all at once, or wait for nothing.
test('a service whose runners are all cold rejects at once, with varied times to come back', async (t) => {
  const log = new MemoryKeyedLog();
  const runner = await new ColdRunner(RESPONSE_MS).listen();
  t.teardown(() => runner.close());
  const writer = GatewayHarness.writerFor(log);
  await writer.configure(SERVICES);
  await writer.registerRunner('cold', runner.port, { cold_remaining_ms: 8_000 });
  const gateway = await GatewayHarness.start(t, { log, coldRunners: COLD_BOUND });
  await sleep(SETTLED_MS);
  const startedAt = performance.now();
  const replies = await Promise.all(Array.from({ length: 20 }, () => gateway.call()));
  t.true(performance.now() - startedAt < 1_000);
  const rejected = replies.filter(({ status }) => status === 503);
  t.true(rejected.length >= 18, `${rejected.length} rejected`);
  const delays = rejected.map(({ headers }) => Number(headers['retry-after']));
  t.true(delays.every((seconds) => seconds >= 0.1 && seconds <= 0.6));
  t.true(new Set(delays).size > 5);
});

// Guards against a change for deployments without a limit for cold runners.
test('without cold_per_s, or with an invalid value, a cold runner gets every request', async (t) => {
  for (const value of [undefined, 0, -1, 'many']) {
    const runner = await new ScriptedRunner((socket, request) => {
      socket.write(`${headFor(request, { framing: ['Content-Length: 2', 'Cold-Ms: 5000'] })}ok`);
    }).listen();
    const log = new MemoryKeyedLog();
    const writer = GatewayHarness.writerFor(log);
    const [service] = SERVICES.services;
    await writer.configure({ services: [{ ...service, cold_per_s: value }] });
    await writer.registerRunner('cold', runner.port, { cold_remaining_ms: 8_000 });
    const gateway = await GatewayHarness.start(t, { log, node: `n${String(value)}` });
    for (let sent = 0; sent < 10; sent += 1) t.is((await gateway.call()).status, 200);
    const ignored = gateway.lines.filter((line) => line.includes('configuration-value-ignored'));
    t.is(ignored.length, value === -1 || value === 'many' ? 1 : 0);
    t.false(gateway.lines.some((line) => line.includes('"runner-cold"')));
    await runner.close();
  }
});
