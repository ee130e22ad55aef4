import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { CutFleet } from './cut-fleet.ts';
import type { GatewayHarness } from './gateway-harness.ts';
import { ROUTE_KINDS } from './route-kinds.ts';
import { chunk, event, responseTo, streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

const OK = 200;
const BAD_GATEWAY = 502;
const WARM_CALLS = 12;
const WARM_MS = 50;
/** Time within which nodes hear each other, in milliseconds. */
const HEARING_MS = 500;

interface Refusing {
  readonly runners?: number;
  readonly gateways?: number;
  /** Gateways whose new connections are refused; by default the first. */
  readonly refused?: readonly number[];
  readonly route?: object;
  /** Connections that were open before are reset when a request arrives on them. */
  readonly areOpenOnesLost?: boolean;
}

interface RefusingFleet {
  readonly gateway: GatewayHarness;
  readonly runners: readonly ScriptedRunner[];
  /** Lets the runner of the next request reset its connection. */
  readonly cutNext: () => void;
  /** Number of requests that reached runners, without those that opened the connections. */
  readonly arrivals: () => number;
}

/** Gateways with open connections to all runners; new ones are refused. */
async function refuseNew(
  t: ExecutionContext,
  { runners = 2, gateways = 1, refused = [0], route, areOpenOnesLost = false }: Refusing,
): Promise<RefusingFleet> {
  let isNextCut = true;
  const open = new WeakSet<Socket>();
  const create = (): ScriptedRunner =>
    new ScriptedRunner((socket, request) => {
      if (request.head.includes('/warm')) {
        open.add(socket);
        setTimeout(() => socket.write(responseTo(request, 'warm')), WARM_MS);
        return;
      }
      if (isNextCut || (areOpenOnesLost && open.has(socket))) {
        isNextCut = false;
        socket.resetAndDestroy();
        return;
      }
      socket.write(responseTo(request, 'served'));
    });
  const all = await Promise.all(Array.from({ length: runners }, () => create().listen()));
  t.teardown(() => Promise.all(all.map((runner) => runner.close())));
  const fleet = await CutFleet.start(t, {
    runners: all,
    gateways,
    route: { max_attempts: 3, ...route },
  });
  if (gateways > 1) await sleep(HEARING_MS);
  const [gateway] = fleet.gateways;
  if (!gateway) throw new TypeError('no node was started');
  const calls = Array.from({ length: WARM_CALLS * runners }, () =>
    gateway.call({ path: '/p/warm' }),
  );
  await Promise.all(calls);
  await fleet.setLinks(refused, 'refuse-new');
  return {
    gateway,
    runners: all,
    cutNext: () => {
      isNextCut = true;
    },
    arrivals: () =>
      all.flatMap(({ received }) => received).filter(({ head }) => !head.includes('/warm')).length,
  };
}

// Guards against a request that is lost while open connections serve and new ones are refused.
test('a request whose connection was lost goes on over one that is open where new ones are refused', async (t) => {
  const { gateway } = await refuseNew(t, {});
  t.is((await gateway.call()).status, OK);
});

// Guards against giving up after some refused connections while open ones serve.
test('a request whose connection was lost goes on over an open one after many refused ones', async (t) => {
  const { gateway } = await refuseNew(t, { runners: 6 });
  t.is((await gateway.call()).status, OK);
});

// Guards against a stream that is cut off while open connections serve and new ones are refused (LOST).
test('a stream whose connection was lost goes on over one that is open where new ones are refused', async (t) => {
  let isCut = false;
  const create = (): ScriptedRunner =>
    new ScriptedRunner((socket, request) => {
      if (isCut || request.head.includes('/warm')) {
        const first = request.head.includes('Last-Event-Id') ? 2 : 1;
        setTimeout(
          () => socket.write(streamHeadFor(request) + chunk(event(first)) + chunk('')),
          WARM_MS,
        );
        return;
      }
      isCut = true;
      socket.write(streamHeadFor(request) + chunk(event(1)));
      setTimeout(() => socket.resetAndDestroy(), WARM_MS);
    });
  const runners = await Promise.all([0, 1].map(() => create().listen()));
  t.teardown(() => Promise.all(runners.map((runner) => runner.close())));
  const route = { ...ROUTE_KINDS.stream, max_attempts: 2 };
  const fleet = await CutFleet.start(t, { runners, gateways: 1, route });
  const [gateway] = fleet.gateways;
  if (!gateway) throw new TypeError('no node was started');
  await Promise.all(Array.from({ length: WARM_CALLS }, () => gateway.call({ path: '/p/warm' })));
  await fleet.setLinks([0], 'refuse-new');
  const { body, isComplete } = await gateway.call();
  t.is(body, event(1) + event(2));
  t.true(isComplete);
});

// Guards against a request that is lost because its node waits for peers that reach no runner either.
test('a request goes on over an open connection where new ones are refused to peers, too', async (t) => {
  const { gateway } = await refuseNew(t, {
    gateways: 2,
    refused: [0, 1],
    route: { max_attempts: 2 },
  });
  t.is((await gateway.call()).status, OK);
});

// Guards against spending the last attempt on a connection that was cut without a sign while a peer can serve.
test('a peer gets a request before open connections that may be cut', async (t) => {
  const { gateway } = await refuseNew(t, {
    gateways: 2,
    route: { max_attempts: 2 },
    areOpenOnesLost: true,
  });
  t.is((await gateway.call()).status, OK);
});

// Guards against requests that are lost after the first loss beside refused connections.
test('a second lost connection does not end requests where new ones are refused', async (t) => {
  const { gateway, cutNext } = await refuseNew(t, {});
  t.is((await gateway.call()).status, OK);
  cutNext();
  t.is((await gateway.call()).status, OK);
});

// Guards against running a request twice over open connections (TWICE).
test('a once-only request whose connection was lost is not sent over another one', async (t) => {
  const { gateway, arrivals } = await refuseNew(t, { route: ROUTE_KINDS['once-only'] });
  t.is((await gateway.call()).status, BAD_GATEWAY);
  t.is(arrivals(), 1);
});

// Guards against attempts beyond those of the route.
test('a request is sent over open connections no more often than its route allows', async (t) => {
  const { gateway, arrivals } = await refuseNew(t, { runners: 6, areOpenOnesLost: true });
  t.is((await gateway.call()).status, BAD_GATEWAY);
  t.true(arrivals() <= 3, `${arrivals()} arrivals`);
});
