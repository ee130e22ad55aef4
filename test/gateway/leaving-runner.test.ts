import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import { DelayedRunner } from './delayed-runner.ts';
import { freePort } from './free-port.ts';
import { GatewayHarness } from './gateway-harness.ts';
import { chunk, event, headFor, streamHeadFor } from './scripted-response.ts';
import type { ReceivedRequest } from './scripted-runner.ts';

/** How a runner that is leaving responds. */
type Response = 'served' | 'refused' | 'failed' | 'stream';

interface Fleet {
  readonly log: MemoryKeyedLog;
  readonly leaving: LeavingRunner;
  readonly gateways: readonly GatewayHarness[];
  readonly startGateway: (node: string) => Promise<GatewayHarness>;
}

/** Time after a node has heard that a runner is leaving from which nothing may reach it. */
const DRAIN_MS = 2_000;
/** Time within which peers hear of it. */
const PEERS_MS = 1_000;
const PERIOD_MS = 25;
/** Long enough for several requests to be in flight, so that the load decides where they go. */
const RESPONSE_MS = 80;
const LEAVING = 'Server-Leaving: 1';
const OK = 200;

/** Runner that says that it is leaving in each response while `response` is set. */
class LeavingRunner extends DelayedRunner {
  response: Response | undefined;

  arrivalsSince(at: number, node = ''): number {
    return this.arrivals.filter((arrival) => arrival.at >= at && arrival.request.startsWith(node))
      .length;
  }

  protected respond(socket: Socket, request: ReceivedRequest): void {
    const length = 'Content-Length: 2';
    switch (this.response) {
      case undefined:
        socket.write(streamHeadFor(request) + chunk(event(1)) + chunk(''));
        return;
      case 'served':
        socket.write(`${headFor(request, { framing: [length, LEAVING] })}ok`);
        return;
      case 'failed':
        socket.write(`${headFor(request, { status: '500 Failed', framing: [length, LEAVING] })}no`);
        return;
      case 'refused':
        socket.write(
          `${headFor(request, { status: '503 Full', framing: ['Not-Executed: 1', length, LEAVING] })}no`,
        );
        return;
      case 'stream':
        socket.write(streamHeadFor(request, ['Transfer-Encoding: chunked', LEAVING]));
        socket.write(chunk(event(1)));
    }
  }
}

async function startFleet(t: ExecutionContext, response: Response): Promise<Fleet> {
  const log = new MemoryKeyedLog();
  const leaving = await new LeavingRunner(RESPONSE_MS).listen();
  const staying = await new LeavingRunner(RESPONSE_MS).listen();
  const route =
    response === 'stream' ? { kind: 'streaming', stream_resume: false, gap_target_ms: 300 } : {};
  await GatewayHarness.configure({ log, route }, [leaving.port, staying.port]);
  const startGateway = async (node: string): Promise<GatewayHarness> =>
    GatewayHarness.start(t, { log, node, peerPort: await freePort() });
  const gateways: GatewayHarness[] = [];
  for (const node of ['n1', 'n2', 'n3']) gateways.push(await startGateway(node));
  t.teardown(async () => {
    await leaving.close();
    await staying.close();
  });
  return { log, leaving, gateways, startGateway };
}

/** Sends requests to a gateway for a time; their ids begin with its name. Returns their statuses. */
async function sendFor(gateway: GatewayHarness, ms: number): Promise<readonly number[]> {
  const calls: Promise<number>[] = [];
  const endsAt = performance.now() + ms;
  const node = gateway.options.node ?? '';
  while (performance.now() < endsAt) {
    const headers = { 'Request-Id': `${node}-${performance.now()}` };
    calls.push(gateway.call({ headers }).then(({ status }) => status));
    await sleep(PERIOD_MS);
  }
  return Promise.all(calls);
}

for (const response of ['served', 'refused', 'failed', 'stream'] as const) {
  // Guards against sending requests to a runner whose response said that it is leaving (DRAIN).
  test(`pattern: scale in; a runner that says so in a ${response} response gets nothing new`, async (t) => {
    const { log, leaving, gateways, startGateway } = await startFleet(t, response);
    const [first] = gateways;
    if (!first) throw new Error('no gateway');
    leaving.response = response;
    while (leaving.arrivals.length === 0) await sendFor(first, PERIOD_MS);
    await sleep(DRAIN_MS);
    const toldAt = performance.now();
    await sendFor(first, PEERS_MS);
    t.is(leaving.arrivalsSince(toldAt, 'n1'), 0, 'from the node that was told');
    const statuses = (await Promise.all(gateways.map((item) => sendFor(item, PEERS_MS)))).flat();
    t.is(leaving.arrivalsSince(toldAt), 0, 'from its peers');
    t.deepEqual(
      statuses.filter((status) => status !== OK),
      [],
    );
    // An older copy of the list has the runner as it was before.
    const writer = GatewayHarness.writerFor(log);
    await writer.registerRunner('r0', leaving.port);
    const joined = await startGateway('n4');
    await sleep(PEERS_MS);
    await Promise.all([...gateways, joined].map((item) => sendFor(item, PEERS_MS)));
    t.is(leaving.arrivalsSince(toldAt), 0, 'from a node that joined, with an older list');
    leaving.response = undefined;
    await writer.registerRunner('r0', leaving.port, { born: 2 });
    await sleep(PEERS_MS);
    await Promise.all(gateways.map((item) => sendFor(item, PEERS_MS)));
    for (const node of ['n1', 'n2', 'n3']) {
      t.true(leaving.arrivalsSince(toldAt, node) > 0, `from ${node} in its next boot`);
    }
  });
}
