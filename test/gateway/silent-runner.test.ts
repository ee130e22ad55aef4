import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { ManualClock } from '@ragwortrudder/core';
import { CutFleet } from './cut-fleet.ts';
import { GatewayHarness } from './gateway-harness.ts';
import { limitConcurrency } from './limit-concurrency.ts';
import { RESUMABLE_ROUTE } from './resumable-route.ts';
import { ROUTE_KINDS } from './route-kinds.ts';
import { chunk, event, headFor, responseTo, streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';
import type { ReceivedRequest } from './scripted-runner.ts';
import { SteadyRunner } from './steady-runner.ts';

interface Reply {
  readonly id: string;
  readonly status: number;
  readonly body: string;
  readonly isComplete: boolean;
}

interface Fleet {
  readonly fleet: CutFleet;
  readonly runners: readonly SteadyRunner[];
  readonly expected: (id: string) => string;
}

const OK = 200;
const UNAVAILABLE = 503;
const EVENTS = 9;
const EVENT_INTERVAL_MS = 100;
const SILENCE_MS = 1_300;
const SILENCES = 3;
const PAUSE_MS = 900;
/** Time in which the retry budget of a new node grows to one retry for each stream in progress. */
const BUDGET_MS = 3_000;
const PERIOD_MS = 30;
const ROUTE = {
  name: 'route',
  host: 'a.example',
  path_prefix: '/p/',
  timeout_ms: 8_000,
  target_latency_ms: 300,
  service: 's',
  max_attempts: 3,
} as const;
/** Includes the time for which a test waits for others of this file, in milliseconds. */
const TEST_TIMEOUT_MS = 115_000;
const takeTurn = limitConcurrency(3);
/** Changes of the configuration, each beside one silence. */
const CHANGES: Readonly<Record<string, (kind: object) => object>> = {
  'a changed time-out': (kind) => ({ routes: [{ ...ROUTE, ...kind, timeout_ms: 7_500 }] }),
  'fewer attempts': (kind) => ({ routes: [{ ...ROUTE, ...kind, max_attempts: 2 }] }),
  'a lower idle limit': (kind) => ({
    routes: [{ ...ROUTE, ...kind }],
    limits: {
      max_header_bytes: 8_192,
      max_body_bytes: 100_000,
      header_timeout_ms: 2_000,
      idle_timeout_ms: 1_000,
    },
  }),
};

async function startFleet(
  t: ExecutionContext,
  kind: keyof typeof ROUTE_KINDS,
  gateways: number,
): Promise<Fleet> {
  t.timeout(TEST_TIMEOUT_MS);
  await takeTurn(t);
  const events = kind === 'stream' ? EVENTS : 0;
  const options = { events, latencyMs: 120, eventIntervalMs: EVENT_INTERVAL_MS };
  const runners = await Promise.all([0, 1, 2, 3].map(() => new SteadyRunner(options).listen()));
  const fleet = await CutFleet.start(t, {
    runners,
    gateways,
    route: { ...ROUTE, ...ROUTE_KINDS[kind] },
  });
  t.teardown(() => Promise.all(runners.map((runner) => runner.close())));
  // The nodes hear each other.
  await sleep(500);
  const whole = Array.from({ length: EVENTS }, (_item, index) => event(index + 1)).join('');
  return { fleet, runners, expected: (id) => (events > 0 ? whole : `ran ${id}`) };
}

/** Sends requests to gateways in turn until `until` settles. */
async function sendUntil(
  gateways: readonly GatewayHarness[],
  until: Promise<void>,
): Promise<readonly Reply[]> {
  const done = new AbortController();
  void until.then(() => {
    done.abort();
  });
  const calls: Promise<Reply>[] = [];
  while (!done.signal.aborted) {
    const gateway = gateways[calls.length % gateways.length];
    const id = `r${calls.length}-${gateway?.options.node ?? ''}`;
    const headers = { 'Request-Id': id, 'Deadline-Ms': '8000' };
    const lost = { id, status: 0, body: '', isComplete: false };
    if (gateway) {
      calls.push(
        gateway.call({ headers }).then(
          (reply) => ({ ...lost, ...reply }),
          () => lost,
        ),
      );
    }
    await sleep(PERIOD_MS);
  }
  return Promise.all(calls);
}

/** Each request was served whole or rejected; prints what the nodes say of the others. */
function assertNoneLost(
  t: ExecutionContext,
  replies: readonly Reply[],
  { fleet, expected }: Fleet,
): void {
  const lost = replies.filter(({ id, status, body, isComplete }) => {
    if (status === UNAVAILABLE) return false;
    return status !== OK || !isComplete || body !== expected(id);
  });
  const lines = fleet.gateways.flatMap((gateway) => gateway.lines);
  for (const { id } of lost) {
    t.log(lines.filter((line) => line.includes(`"request":"${id}"`)).join(''));
  }
  t.deepEqual(lost, []);
}

async function playSilences(
  runners: readonly SteadyRunner[],
  change: () => Promise<void>,
): Promise<void> {
  for (let count = 0; count < SILENCES; count += 1) {
    await sleep(PAUSE_MS);
    const silences = runners.map((runner) => runner.fallSilent(SILENCE_MS));
    await sleep(200);
    await change();
    await Promise.all(silences);
  }
  await sleep(PAUSE_MS);
}

/** No prompt is suspected of crashing runners, and no runner is set aside by all nodes. */
function assertNobodyBlamed(t: ExecutionContext, { fleet, runners }: Fleet): void {
  const lines = fleet.gateways.map((gateway) => gateway.lines.join(''));
  t.false(lines.some((text) => text.includes('"event":"prompt-part')));
  for (const index of runners.keys()) {
    const setAside = `"event":"runner-set-aside","runner":"r${index}"`;
    t.false(lines.every((text) => text.includes(setAside)));
  }
}

for (const kind of ['stream', 'idempotent', 'once-only'] as const) {
  for (const [name, change] of Object.entries(CHANGES)) {
    // Guards against requests that are given up although their runners are only silent (LOST).
    test(`pattern: all runners fall silent three times beside ${name}; no ${kind} request is lost`, async (t) => {
      const started = await startFleet(t, kind, 3);
      const { fleet, runners } = started;
      let version = 1;
      const configure = async (): Promise<void> => {
        version += 1;
        await fleet.gateways[0]?.configure({ ...change(ROUTE_KINDS[kind]), version });
      };
      const replies = await sendUntil(fleet.gateways, playSilences(runners, configure));
      assertNoneLost(t, replies, started);
      const runs = runners.flatMap((runner) => [...runner.runs.keys()]);
      if (kind === 'once-only') t.is(new Set(runs).size, runs.length, 'requests that ran twice');
      assertNobodyBlamed(t, started);
    });
  }
}

for (const kind of ['stream', 'idempotent'] as const) {
  for (const mode of ['cut', 'dark', 'refuse-new'] as const) {
    // Guards against requests that are given up for peers whose runners are only silent (LOST).
    test(`pattern: all runners fall silent beside a node without links (${mode}); no ${kind} request is lost`, async (t) => {
      const started = await startFleet(t, kind, 3);
      const { fleet, runners } = started;
      let version = 1;
      const configure = async (): Promise<void> => {
        version += 1;
        const routes = [{ ...ROUTE, ...ROUTE_KINDS[kind], timeout_ms: 8_000 - version }];
        await fleet.gateways[0]?.configure({ routes, version });
      };
      const play = async (): Promise<void> => {
        await sleep(BUDGET_MS);
        await fleet.setLinks([2], mode);
        await playSilences(runners, configure);
        await fleet.setLinks([2], 'open');
      };
      const replies = await sendUntil(fleet.gateways, play());
      assertNoneLost(t, replies, started);
      assertNobodyBlamed(t, started);
    });
  }
}

// Measures that sound runners serve while one of them is silent, and that it is used again at once.
test('pattern: one of four runners falls silent three times; every stream is served whole', async (t) => {
  const started = await startFleet(t, 'stream', 2);
  const { fleet, runners } = started;
  const [silent] = runners;
  if (!silent) throw new TypeError('no runner was started');
  const play = playSilences([silent], () => Promise.resolve());
  const replies = await sendUntil(fleet.gateways, play);
  assertNoneLost(t, replies, started);
  t.is(replies.filter(({ status }) => status === UNAVAILABLE).length, 0);
});

/** Silence of a stream of such a route after which it is tried elsewhere, and the period of the check. */
const STREAM_LIMIT_MS = 900;
const CHECK_MS = 200;
/** Time within which a runner hears that its work is not needed any more. */
const ENDED_MS = 500;

function refusalTo(request: ReceivedRequest): string {
  const framing = ['Not-Executed: full', 'Content-Length: 0'];
  return headFor(request, { status: '503 Service Unavailable', framing });
}

// Guards against streams that are cut off because the runner that was tried instead has no room (LOST).
test('a stream whose runner is silent goes on there when the other runners have no room', async (t) => {
  const silent = new ScriptedRunner((socket, request) => {
    socket.write(streamHeadFor(request) + chunk(event(1)));
    setTimeout(() => socket.write(chunk(event(2)) + chunk('')), 2 * STREAM_LIMIT_MS);
  });
  const full = new ScriptedRunner((socket, request) => {
    socket.write(refusalTo(request));
  });
  const runners = [await silent.listen()];
  const harness = await GatewayHarness.start(t, { runners, route: RESUMABLE_ROUTE });
  const reply = harness.call();
  await harness.waitUntil(() => silent.received.length === 1);
  await full.listen();
  t.teardown(() => full.close());
  await harness.registerRunner('r1', full.port);
  t.is((await reply).body, event(1) + event(2));
  t.true((await reply).isComplete);
  t.is(full.received.length, 1);
});

// Guards against two runners that work on one stream after one of them has responded (TWICE).
test('a runner that is silent for good loses its stream to another one, and hears of it', async (t) => {
  const silent = new ScriptedRunner((socket, request) => {
    socket.write(streamHeadFor(request) + chunk(event(1)));
  });
  const other = new ScriptedRunner((socket, request) => {
    socket.write(streamHeadFor(request) + chunk(event(2)) + chunk(event(3)) + chunk(''));
  });
  const runners = [await silent.listen()];
  const harness = await GatewayHarness.start(t, { runners, route: RESUMABLE_ROUTE });
  const reply = harness.call({ headers: { 'Request-Id': 'silent' } });
  await harness.waitUntil(() => silent.received.length === 1);
  await other.listen();
  t.teardown(() => other.close());
  await harness.registerRunner('r1', other.port);
  t.is((await reply).body, event(1) + event(2) + event(3));
  const endedBy = performance.now() + ENDED_MS;
  await harness.waitUntil(() => silent.closed.includes('silent') || performance.now() > endedBy);
  t.true(silent.closed.includes('silent'));
});

// Guards against events that arrive twice when a silent runner goes on after another one has begun (ORDER).
test('a runner that goes on keeps its stream, and the one tried meanwhile hears of it', async (t) => {
  const silent = new ScriptedRunner((socket, request) => {
    socket.write(streamHeadFor(request) + chunk(event(1)));
    setTimeout(
      () => {
        socket.write(chunk(event(2)));
        setTimeout(() => socket.write(chunk(event(3)) + chunk('')), CHECK_MS);
      },
      STREAM_LIMIT_MS + 2 * CHECK_MS,
    );
  });
  const late = new ScriptedRunner((socket, request) => {
    setTimeout(() => socket.write(streamHeadFor(request) + chunk(event(2))), STREAM_LIMIT_MS);
  });
  const runners = [await silent.listen()];
  const harness = await GatewayHarness.start(t, { runners, route: RESUMABLE_ROUTE });
  const reply = harness.call({ headers: { 'Request-Id': 'kept' } });
  await harness.waitUntil(() => silent.received.length === 1);
  await late.listen();
  t.teardown(() => late.close());
  await harness.registerRunner('r1', late.port);
  t.is((await reply).body, event(1) + event(2) + event(3));
  t.true((await reply).isComplete);
  t.is(late.received.length, 1);
  await harness.waitUntil(() => late.closed.includes('kept'));
  t.true(late.closed.includes('kept'));
});

/** Shortest and longest silence in which a request is tried only at runners that are not silent. */
const SILENCES_MS = [700, 1_740] as const;
/** Longer than the test may take: no deadline ends a request whose runner is silent. */
const LONG_TIMEOUT_MS = 60_000;

// Guards against a retry budget that is spent on runners that are as silent as the first one.
test('a request is not tried at runners that are silent themselves', async (t) => {
  const respond: (() => void)[] = [];
  const runners = await Promise.all(
    [0, 1].map(() =>
      new ScriptedRunner((socket, request) => {
        respond.push(() => socket.write(responseTo(request, 'late')));
      }).listen(),
    ),
  );
  const clock = new ManualClock(Date.now());
  const harness = await GatewayHarness.start(t, {
    runners,
    route: { timeout_ms: LONG_TIMEOUT_MS },
    clock,
  });
  const headers = { 'Deadline-Ms': String(LONG_TIMEOUT_MS) };
  const replies = Promise.all([harness.call({ headers }), harness.call({ headers })]);
  await harness.waitUntil(() => runners.every(({ received }) => received.length === 1));
  const sentAt = clock.monotonic();
  for (const silenceMs of SILENCES_MS) {
    const counts = runners.map(({ closed }) => closed.length);
    clock.advance(sentAt + silenceMs - clock.monotonic());
    // The node probes the links of silent runners when it checks the requests for their silence.
    await harness.waitUntil(() =>
      runners.every(({ closed }, index) => closed.length > (counts[index] ?? 0)),
    );
  }
  for (const answer of respond) answer();
  for (const { status } of await replies) t.is(status, OK);
  t.is(runners.flatMap(({ received }) => received).length, 2);
});
