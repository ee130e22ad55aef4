import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import { DelayedRunner } from './delayed-runner.ts';
import { freePort } from './free-port.ts';
import { GatewayHarness } from './gateway-harness.ts';
import { headFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';
import type { ReceivedRequest } from './scripted-runner.ts';

const CONTACT_MS = 3_000;
const WINDOW_MS = 4_000;
/** Factor and slack of the platform's bound on requests beyond a stated limit. */
const TOLERANCE = 1.5;
const SLACK = 5;
const GATEWAYS = 9;
const PERIOD_MS = 20;
/** Long enough for several requests to be in flight, so that the load decides where they go. */
const RESPONSE_MS = 200;

/** Runner that responds after a short time and can state a limit. */
class LimitedRunner extends DelayedRunner {
  limit: number | undefined;

  arrivalsBetween(from: number, to: number): number {
    return this.arrivals.filter(({ at }) => at >= from && at < to).length;
  }

  /** Most arrivals in any window of `WINDOW_MS` that lies between two times. */
  mostInWindow(from: number, to: number): number {
    const starts = this.arrivals.filter(({ at }) => at >= from && at + WINDOW_MS <= to);
    return Math.max(0, ...starts.map(({ at }) => this.arrivalsBetween(at, at + WINDOW_MS)));
  }

  protected respond(socket: Socket, request: ReceivedRequest): void {
    const limit = this.limit === undefined ? [] : [`Server-Limit: ${this.limit}`];
    socket.write(`${headFor(request, { framing: ['Content-Length: 2', ...limit] })}ok`);
  }
}

async function startFleet(t: ExecutionContext): Promise<{
  readonly runners: readonly LimitedRunner[];
  readonly gateways: readonly GatewayHarness[];
  readonly startGateway: (node: string) => Promise<GatewayHarness>;
}> {
  const log = new MemoryKeyedLog();
  const runners = await Promise.all([0, 1, 2].map(() => new LimitedRunner(RESPONSE_MS).listen()));
  await GatewayHarness.configure(
    { log },
    runners.map(({ port }) => port),
  );
  const startGateway = async (node: string): Promise<GatewayHarness> =>
    GatewayHarness.start(t, { log, node, peerPort: await freePort() });
  const gateways: GatewayHarness[] = [];
  for (let index = 0; index < GATEWAYS; index += 1) {
    gateways.push(await startGateway(`n${index}`));
  }
  t.teardown(() => Promise.all(runners.map((runner) => runner.close())));
  return { runners, gateways, startGateway };
}

interface Counts {
  readonly served: () => number;
  readonly sent: () => number;
  readonly close: () => Promise<void>;
}

function startTraffic(gateways: () => readonly GatewayHarness[]): Counts {
  let sent = 0;
  let served = 0;
  const calls: Promise<void>[] = [];
  const timer = setInterval(() => {
    const gateway = gateways()[sent % gateways().length];
    sent += 1;
    const call = gateway?.call().then(({ status }) => {
      served += status === 200 ? 1 : 0;
    });
    if (call) calls.push(call);
  }, PERIOD_MS);
  return {
    served: () => served,
    sent: () => sent,
    close: async () => {
      clearInterval(timer);
      await Promise.all(calls);
    },
  };
}

test('a log line tells when a runner states a limit and when it no longer does', async (t) => {
  const runner = await new ScriptedRunner((socket, request, index) => {
    const limit = index === 1 ? ['Server-Limit: 2.5'] : [];
    socket.write(`${headFor(request, { framing: ['Content-Length: 2', ...limit] })}ok`);
  }).listen();
  const harness = await GatewayHarness.start(t, { runners: [runner] });
  await harness.call();
  await harness.call();
  await sleep(1_500);
  await harness.call();
  await sleep(500);
  const stated = harness.lines
    .filter((line) => line.includes('runner-limit-stated'))
    .map((line) => (JSON.parse(line) as Record<string, unknown>).requestsPerSecond);
  t.deepEqual(stated, [2.5, 'none']);
});

// Guards against sending a runner more than the limit that it stated, over all nodes (LIMIT).
test('a runner that states a limit gets no more than that from all nodes together, and its share again afterwards', async (t) => {
  t.timeout(90_000);
  const { runners, gateways, startGateway } = await startFleet(t);
  const [limited] = runners;
  if (!limited) throw new TypeError('no runner was started');
  await sleep(1_500);
  let joined: readonly GatewayHarness[] = [];
  const traffic = startTraffic(() => [...gateways, ...joined]);
  await sleep(2_000);
  limited.limit = 1;
  const statedAt = performance.now();
  await sleep(CONTACT_MS + 500);
  joined = [await startGateway('joined')];
  await sleep(8_000);
  limited.limit = undefined;
  const liftedAt = performance.now();
  await sleep(6_000);
  await traffic.close();
  const most = limited.mostInWindow(statedAt + CONTACT_MS, liftedAt);
  t.true(most <= TOLERANCE * 4 + SLACK, `${most} requests in 4 s`);
  const limitedForS = (liftedAt - statedAt - CONTACT_MS) / 1_000;
  const served = limited.arrivalsBetween(statedAt + CONTACT_MS, liftedAt);
  t.true(served >= 0.5 * limitedForS, `${served} requests in ${limitedForS} s`);
  const afterwards = limited.arrivalsBetween(liftedAt + CONTACT_MS, liftedAt + 6_000);
  t.true(afterwards > 20, `${afterwards} requests in 3 s after the limit`);
  t.true(traffic.served() >= 0.98 * traffic.sent(), `${traffic.served()} of ${traffic.sent()}`);
});
