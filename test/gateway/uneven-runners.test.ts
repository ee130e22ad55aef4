import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import { DelayedRunner } from './delayed-runner.ts';
import { freePort } from './free-port.ts';
import { GatewayHarness } from './gateway-harness.ts';
import { ROUTE_KINDS } from './route-kinds.ts';
import { chunk, event, headFor, streamHeadFor } from './scripted-response.ts';
import type { ReceivedRequest } from './scripted-runner.ts';
import { sendFor } from './send-for.ts';

const FAST_MS = 300;
const SLOW_MS = 900;
const SLOW = 3;
const RUNNERS = 12;
const OK = 200;

/** Runner that states the same load in each response. */
class StatingRunner extends DelayedRunner {
  load = '0,0,4,100';

  isStreaming = false;

  protected respond(socket: Socket, request: ReceivedRequest): void {
    if (this.isStreaming) {
      const head = streamHeadFor(request, [
        'Transfer-Encoding: chunked',
        `Server-Load: ${this.load}`,
      ]);
      socket.write(head + chunk(event(1)) + chunk(''));
      return;
    }
    const framing = ['Content-Length: 2', `Server-Load: ${this.load}`];
    socket.write(`${headFor(request, { framing })}ok`);
  }
}

/** Starts runners, the first of which are slow, and gateways that share them. */
async function startFleet(
  t: ExecutionContext,
  nodes: number,
): Promise<{
  readonly runners: readonly StatingRunner[];
  readonly gateways: readonly GatewayHarness[];
}> {
  const runners = await Promise.all(
    Array.from({ length: RUNNERS }, (_, index) =>
      new StatingRunner(index < SLOW ? SLOW_MS : FAST_MS).listen(),
    ),
  );
  t.teardown(() => Promise.all(runners.map((runner) => runner.close())));
  const log = new MemoryKeyedLog();
  await GatewayHarness.configure(
    { log },
    runners.map(({ port }) => port),
  );
  const gateways: GatewayHarness[] = [];
  for (let index = 0; index < nodes; index += 1) {
    const node = `n${index + 1}`;
    gateways.push(await GatewayHarness.start(t, { log, node, peerPort: await freePort() }));
  }
  await sleep(500);
  return { runners, gateways };
}

function linesOf({ lines }: GatewayHarness, name: string): readonly Record<string, unknown>[] {
  return lines
    .map((line) => JSON.parse(line) as Record<string, unknown>)
    .filter((fields) => fields.event === name);
}

function slowShare(runners: readonly StatingRunner[], since: number): number {
  const counts = runners.map(({ arrivals }) => arrivals.filter(({ at }) => at >= since).length);
  const all = counts.reduce((sum, count) => sum + count, 0);
  return counts.slice(0, SLOW).reduce((sum, count) => sum + count, 0) / all;
}

// Guards against nodes that each have to learn the speeds alone, and lose them with the node that measured.
test('a node without requests knows the speeds that its peer measured, also after the peer has ended', async (t) => {
  const { runners, gateways } = await startFleet(t, 2);
  const [busy, idle] = gateways;
  if (!busy || !idle) throw new TypeError('no gateway was started');
  // The fast runners alone are nearly full, so that some requests go to slow ones.
  const sent = await Promise.all([sendFor([busy], 8_000), sendFor([busy], 8_000)]);
  const outcomes = sent.flat();
  t.true(outcomes.every(({ status }) => status === OK));
  await sleep(5_200);
  t.log(
    linesOf(idle, 'runner-speed').map(({ runner, slowness, samples }) =>
      [runner, slowness, samples].join(' '),
    ),
  );
  const known = linesOf(idle, 'runner-speed').map(({ runner, slowness }) => ({
    runner: String(runner).split(' ')[0],
    isSlow: Number(slowness) > 1.25,
  }));
  t.deepEqual(
    known
      .filter(({ isSlow }) => isSlow)
      .map(({ runner }) => runner)
      .toSorted(),
    ['r0', 'r1', 'r2'],
  );
  await busy.gateway.close();
  const since = performance.now();
  const later = await sendFor([idle], 2_000);
  t.true(later.every(({ status }) => status === OK));
  const share = slowShare(runners, since);
  t.log('share of the slow quarter', share);
  t.true(share < 0.15, String(share));
});

// Guards against responses, choices or estimates that an odd fourth value breaks.
test('requests are served while runners state odd fourth values', async (t) => {
  const { runners, gateways } = await startFleet(t, 1);
  const odd = ['-1', '0', 'x', '99999', '', '1e400', 'NaN'];
  for (const [index, runner] of runners.entries()) {
    runner.load = `0,0,4,${odd[index % odd.length] ?? ''}`;
  }
  const outcomes = await sendFor(gateways, 1_500);
  t.true(outcomes.every(({ status }) => status === OK));
  const [gateway] = gateways;
  const rejected = gateway ? linesOf(gateway, 'record-rejected') : [];
  t.true(rejected.length > 0 && rejected.length <= RUNNERS, String(rejected.length));
  t.deepEqual(gateway && linesOf(gateway, 'runner-speed'), []);
});

// Guards against times to the first event that are compared with an estimate which includes the slowness.
test('the speeds of engines are learned from the first events of streams', async (t) => {
  const runners = await Promise.all(
    Array.from({ length: RUNNERS }, (_, index) =>
      new StatingRunner(index < SLOW ? SLOW_MS : FAST_MS).listen(),
    ),
  );
  t.teardown(() => Promise.all(runners.map((runner) => runner.close())));
  for (const runner of runners) runner.isStreaming = true;
  const log = new MemoryKeyedLog();
  const operator = GatewayHarness.writerFor(log, ROUTE_KINDS.stream);
  const engine = { slots: 4, kv_capacity_tokens: 0 };
  await operator.configure({
    services: [{ name: 's', health_path: '/health', max_connections: 100, engine }],
  });
  for (const [index, { port }] of runners.entries())
    await operator.registerRunner(`r${index}`, port);
  const gateway = await GatewayHarness.start(t, { log, node: 'n1', peerPort: await freePort() });
  const sent = await Promise.all([sendFor([gateway], 6_000), sendFor([gateway], 6_000)]);
  t.true(sent.flat().every(({ status }) => status === OK));
  const share = slowShare(runners, performance.now() - 3_000);
  t.log('share of the slow quarter', share, linesOf(gateway, 'runner-speed').length);
  t.true(share < 0.15, String(share));
});
