import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { GatewayHarness } from './gateway-harness.ts';
import { responseTo } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';
import type { ReceivedRequest } from './scripted-runner.ts';

interface HeldRequest {
  readonly socket: Socket;
  readonly request: ReceivedRequest;
}

interface Service {
  readonly harness: GatewayHarness;
  readonly runner: ScriptedRunner;
  /** Requests that the runner has not answered. */
  readonly held: () => number;
  /** Lets the runner answer all requests. */
  readonly release: () => void;
}

const BASE_ROUTE = { host: 'a.example', kind: 'idempotent', timeout_ms: 4_000, service: 's' };
const URGENT = { ...BASE_ROUTE, name: 'urgent', path_prefix: '/u/', target_latency_ms: 500 };
const LATER = {
  ...{ ...BASE_ROUTE, name: 'later', path_prefix: '/l/', target_latency_ms: 1_600 },
  priority: 1,
};
/** An eighth of the target of the less urgent route. */
const MAX_WAIT_MS = 200;
const LATER_CALLS = 8;
/** After the first report period a node without peers knows all that there is to know. */
const INFORMED_MS = 1_200;
const LONG_PROMPT = { 'Prompt-Prefix': 'a1:10000' };
const SHORT_PROMPT = { 'Prompt-Prefix': 'b2:1000' };

async function startService(t: ExecutionContext, laterPriority = 1): Promise<Service> {
  let waiting: readonly HeldRequest[] = [];
  const runner = await new ScriptedRunner((socket, request) => {
    waiting = [...waiting, { socket, request }];
  }).listen();
  const harness = await GatewayHarness.start(t, { runners: [runner] });
  await harness.configure({
    routes: [URGENT, { ...LATER, priority: laterPriority }],
    services: [{ name: 's', max_connections: 100, engine: { slots: 4 } }],
  });
  await sleep(INFORMED_MS);
  const release = (): void => {
    for (const { socket, request } of waiting) socket.write(responseTo(request, 'ok'));
    waiting = [];
  };
  return { harness, runner, held: () => waiting.length, release };
}

/** Sends urgent requests whose prompts take longer than the target of their class. */
async function overload({ harness, held }: Service): Promise<void> {
  const calls = [0, 1, 2, 3, 4].map(() => harness.call({ path: '/u/x', headers: LONG_PROMPT }));
  await harness.waitUntil(() => held() === 5);
  await Promise.all(calls);
}

function metricsOf({ gateway }: GatewayHarness): Promise<string> {
  return fetch(`http://127.0.0.1:${gateway.ports.metrics}/metrics`).then((reply) => reply.text());
}

function eventsOf({ lines }: GatewayHarness, event: string): readonly string[] {
  return lines.filter((line) => line.includes(`"event":"${event}"`));
}

// Guards against less urgent requests that lengthen the wait of urgent ones at an overloaded service.
test('a less urgent request waits and is then refused while more urgent ones would miss their target', async (t) => {
  const service = await startService(t);
  const { harness, runner, release } = service;
  const urgent = overload(service);
  await harness.waitUntil(() => service.held() === 5);
  const sentAt = performance.now();
  const replies = await Promise.all(
    Array.from({ length: LATER_CALLS }, () =>
      harness.call({ path: '/l/x', headers: SHORT_PROMPT }),
    ),
  );
  const tookMs = performance.now() - sentAt;
  t.true(replies.every(({ status }) => status === 503));
  // The header has a resolution of 10 ms, so that two of the delays may be equal.
  const delays = new Set(replies.map(({ headers }) => headers['retry-after']));
  t.true(delays.size >= LATER_CALLS / 2, [...delays].join(' '));
  t.true(tookMs >= MAX_WAIT_MS - 20 && tookMs < 3 * MAX_WAIT_MS, `${tookMs} ms`);
  t.is(runner.received.length, 5);
  t.is(eventsOf(harness, 'request-refused').length, LATER_CALLS);
  t.regex(eventsOf(harness, 'request-refused')[0] ?? '', /target-of-more-urgent/);
  const metrics = await metricsOf(harness);
  t.true(metrics.includes(`ragwortrudder_gate_refused{route="later"} ${LATER_CALLS}\n`));
  release();
  await urgent;
});

// Guards against requests that stay at the node after the runners have room again.
test('a waiting request is sent once the more urgent ones are done', async (t) => {
  const service = await startService(t);
  const { harness, runner, release } = service;
  const urgent = overload(service);
  await harness.waitUntil(() => service.held() === 5);
  const call = harness.call({ path: '/l/x', headers: SHORT_PROMPT });
  await sleep(50);
  t.is(runner.received.length, 5);
  release();
  await urgent;
  await harness.waitUntil(() => service.held() === 1);
  release();
  t.is((await call).status, 200);
  t.regex(await metricsOf(harness), /ragwortrudder_gate_admitted_after_wait\{route="later"\} 1/);
  t.is(eventsOf(harness, 'request-admitted').length, 1);
});

// Guards against a gate that affects services without priorities.
test('routes of one priority are not held back', async (t) => {
  const service = await startService(t, 0);
  const { harness, runner, release } = service;
  const urgent = overload(service);
  await harness.waitUntil(() => service.held() === 5);
  const call = harness.call({ path: '/l/x', headers: SHORT_PROMPT });
  await harness.waitUntil(() => runner.received.length === 6);
  release();
  await urgent;
  t.is((await call).status, 200);
});

// Guards against sending a request whose caller has left, and against a wait that outlives its caller.
test('the wait ends when the caller leaves', async (t) => {
  const service = await startService(t);
  const { harness, runner, release } = service;
  const urgent = overload(service);
  await harness.waitUntil(() => service.held() === 5);
  const head = ['GET /l/x HTTP/1.1', 'Host: a.example', 'Request-Id: left', 'X-Api-Key: key'];
  await harness.sendRaw([...head, 'Prompt-Prefix: b2:1000', '', ''].join('\r\n'), 60);
  await harness.waitUntil(() => eventsOf(harness, 'request-left').length === 1);
  release();
  await urgent;
  await sleep(MAX_WAIT_MS);
  t.is(runner.received.length, 5);
  t.is(eventsOf(harness, 'request-refused').length, 0);
});

// Guards against a stopping node that keeps requests waiting instead of sending them elsewhere.
test('a stopping node does not hold requests', async (t) => {
  const service = await startService(t);
  const { harness, release } = service;
  const urgent = overload(service);
  await harness.waitUntil(() => service.held() === 5);
  const call = harness.call({ path: '/l/x', headers: SHORT_PROMPT });
  await sleep(50);
  const stoppedAt = performance.now();
  void harness.gateway.stop();
  t.is((await call).status, 503);
  const tookMs = performance.now() - stoppedAt;
  t.true(tookMs < MAX_WAIT_MS / 2, `${tookMs} ms`);
  release();
  await urgent;
});

// Guards against a request that has missed its target overtaking one of its priority that has not.
test('a request that has missed its target has a lower engine priority', async (t) => {
  const answer = (socket: Socket, request: ReceivedRequest): void => {
    if (received.push(request.head) === 1) setTimeout(() => socket.destroy(), 400);
    else socket.write(responseTo(request, 'ok'));
  };
  const received: string[] = [];
  const runners = await Promise.all([0, 1].map(() => new ScriptedRunner(answer).listen()));
  const harness = await GatewayHarness.start(t, { runners });
  await harness.configure({
    routes: [{ ...URGENT, target_latency_ms: 300, max_attempts: 2 }],
    services: [{ name: 's', max_connections: 100, engine: { slots: 4 } }],
  });
  await sleep(INFORMED_MS);
  t.is((await harness.call({ path: '/u/x' })).status, 200);
  t.deepEqual(
    received.map((head) => /Request-Priority: (\d)/.exec(head)?.[1]),
    ['1', '2'],
  );
});

// Guards against a node that has just started and refuses requests because it has heard no peers.
test('failure: a node that has just started serves less urgent requests', async (t) => {
  const runner = await new ScriptedRunner((socket, request) => {
    socket.write(responseTo(request, 'ok'));
  }).listen();
  const harness = await GatewayHarness.start(t, { runners: [runner] });
  await harness.configure({
    routes: [URGENT, LATER],
    services: [{ name: 's', max_connections: 100, engine: { slots: 4 } }],
  });
  await harness.waitUntil(async () => (await harness.call({ path: '/u/x' })).status === 200);
  const sentAt = performance.now();
  t.is((await harness.call({ path: '/l/x' })).status, 200);
  t.true(performance.now() - sentAt < 2 * MAX_WAIT_MS);
});
