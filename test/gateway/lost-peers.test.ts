import { Writable } from 'node:stream';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import type { Route } from '@ragwortrudder/catalog';
import { SeededRandom, SystemClock } from '@ragwortrudder/core';
import { PlatformDialect } from '@ragwortrudder/platform-adapter';
import { HomeRegions } from '@ragwortrudder/routing';
import { Refusal } from '../../packages/gateway/src/errors/refusal.ts';
import { CallerServer } from '../../packages/gateway/src/node/caller-server.ts';
import { DecisionLog } from '../../packages/gateway/src/node/decision-log.ts';
import { GatewayMetrics } from '../../packages/gateway/src/node/gateway-metrics.ts';
import { Intake } from '../../packages/gateway/src/node/intake.ts';
import { PeerForwarder } from '../../packages/gateway/src/node/peer-forwarder.ts';
import { PassingDialect } from '../../packages/gateway/src/utils/passing-dialect.ts';
import { PeerReach } from '../../packages/gateway/src/utils/peer-reach.ts';
import { RawCaller, requestText } from './raw-caller.ts';
import { chunk, event, responseTo, streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';
import type { ReceivedRequest } from './scripted-runner.ts';

const ROUTE: Route = {
  name: 'route',
  host: 'a.example',
  pathPrefix: '/p/',
  kind: 'stream',
  isResumable: true,
  timeoutMs: 5_000,
  latencyTargetMs: 300,
  maxGapMs: 300,
  maxAttempts: 2,
  priority: 0,
  isPublic: false,
  targets: [{ service: 's', weight: 1 }],
};
/** Time between the events of the peer, several checks of whether it is heard. */
const EVENT_INTERVAL_MS = 700;
/** Times for which no report of a sound peer arrives after it has counted as reachable for the last time. */
const SOUND_SILENCES_MS = [300, 900, 1_500];
/** Time from the last report that is missed to the response of the peer. */
const RESPONSE_MS = 300;

interface Node {
  readonly caller: RawCaller;
  /** Lets reports of the peer arrive, or not. */
  readonly setHeard: (isHeard: boolean) => void;
}

/** A node that passes each request on to one peer. */
async function start(
  t: ExecutionContext,
  peer: ScriptedRunner,
  kind: Route['kind'] = 'stream',
): Promise<Node> {
  const out = new Writable({
    write: (_bytes, _encoding, done) => {
      done();
    },
  });
  const clock = new SystemClock();
  const log = new DecisionLog({ node: 'n1', out, clock });
  const metrics = new GatewayMetrics();
  const dialect = new PlatformDialect();
  let isHeard = true;
  const address = { host: '127.0.0.1', port: peer.port };
  const forwarder = new PeerForwarder({
    node: 'n1',
    failureDomain: 'a',
    dialectFor: (passed) => new PassingDialect(dialect, passed),
    clock,
    random: new SeededRandom(1),
    peers: { reachable: () => (isHeard ? [{ id: 'n2', address, failureDomain: 'a' }] : []) },
    reach: new PeerReach(clock),
    reachOf: () => ({ runners: ['r'], lost: new Set(['r']), lostIds: new Set(['r']) }),
    intake: new Intake(),
    log,
    metrics,
  });
  const server = new CallerServer({
    address: { host: '127.0.0.1', port: 0 },
    intake: new Intake(),
    dialect,
    log,
    metrics,
    onRequest: async (request, channel) => {
      try {
        await forwarder.passOn({
          request,
          channel,
          route: { ...ROUTE, kind },
          service: { name: 's', healthPath: '/', maxConnections: 100 },
          team: undefined,
          home: new HomeRegions({ lists: [], domainRegions: {} }),
          progress: { sends: 0, isUsageCounted: false },
          remainingMs: 5_000,
          isRepeatable: true,
          mayHaveRun: false,
          refusal: new Refusal('runner-unreachable', { status: 503 }),
        });
      } catch (error) {
        if (!(error instanceof Refusal)) throw error;
        channel.fail(error, request.id);
      }
    },
  });
  await server.listen();
  const caller = new RawCaller(server.port);
  t.teardown(async () => {
    caller.socket.destroy();
    await Promise.all([server.close(), forwarder.close(), peer.close()]);
  });
  return {
    caller,
    setHeard: (value) => {
      isHeard = value;
    },
  };
}

// Guards against a stream that is cut off because its peer is not heard, though it goes on.
test('a stream goes on although reports of the peer that serves it are lost', async (t) => {
  const peer = await new ScriptedRunner((socket, request) => {
    void (async () => {
      socket.write(streamHeadFor(request) + chunk(event(1)));
      await sleep(EVENT_INTERVAL_MS);
      socket.write(chunk(event(2)) + chunk(''));
    })();
  }).listen();
  const { caller, setHeard } = await start(t, peer);
  caller.send(requestText({ id: 'a' }));
  await new Promise((resolve) => caller.socket.once('data', resolve));
  setHeard(false);
  await Promise.race([caller.closed, sleep(2 * EVENT_INTERVAL_MS)]);
  t.true(caller.received.endsWith('0\r\n\r\n'));
});

const WHOLE_RESPONSES = {
  stream: (request: ReceivedRequest) => streamHeadFor(request) + chunk(event(1)) + chunk(''),
  idempotent: (request: ReceivedRequest) => responseTo(request, 'served'),
} as const;

for (const kind of ['stream', 'idempotent'] as const) {
  for (const silentMs of SOUND_SILENCES_MS) {
    // Guards against a request that is given up while a sound peer is silent for a moment (LOST).
    test(`${kind}: a request is answered by a peer that was not heard for ${silentMs} ms`, async (t) => {
      const peer = await new ScriptedRunner((socket, request) => {
        const response = WHOLE_RESPONSES[kind](request);
        setTimeout(() => socket.write(response), silentMs + RESPONSE_MS);
      }).listen();
      const { caller, setHeard } = await start(t, peer, kind);
      caller.send(requestText({ id: 'a' }));
      while (peer.received.length === 0) await sleep(10);
      setHeard(false);
      await sleep(silentMs);
      setHeard(true);
      await Promise.race([
        caller.closed,
        new Promise((resolve) => caller.socket.once('data', resolve)),
      ]);
      t.deepEqual(caller.responses, ['200 a']);
    });
  }
}

// Guards against waiting for reports of a peer whose connection tells that it is gone.
test('a request whose peer is gone is answered as soon as its connection ends', async (t) => {
  const peer = await new ScriptedRunner((socket) => {
    setTimeout(() => socket.resetAndDestroy(), RESPONSE_MS);
  }).listen();
  const { caller, setHeard } = await start(t, peer);
  caller.send(requestText({ id: 'a' }));
  while (peer.received.length === 0) await sleep(10);
  setHeard(false);
  await Promise.race([
    sleep(Math.max(...SOUND_SILENCES_MS)),
    new Promise((resolve) => caller.socket.once('data', resolve)),
  ]);
  t.deepEqual(caller.responses, ['502 a']);
});

// Guards against waiting until the deadline for a peer that has lost the request.
test('a request whose peer is not heard is answered before its deadline', async (t) => {
  const peer = await new ScriptedRunner(() => undefined).listen();
  const { caller, setHeard } = await start(t, peer);
  caller.send(requestText({ id: 'a' }));
  while (peer.received.length === 0) await sleep(10);
  setHeard(false);
  await Promise.race([
    caller.closed,
    new Promise((resolve) => caller.socket.once('data', resolve)),
  ]);
  t.deepEqual(caller.responses, ['502 a']);
});
