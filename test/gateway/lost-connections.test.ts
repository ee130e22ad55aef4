import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { GatewayHarness } from './gateway-harness.ts';
import { RawCaller, requestHead, requestText } from './raw-caller.ts';
import { chunk, event, responseTo, streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

interface Setup {
  readonly harness: GatewayHarness;
  readonly runner: ScriptedRunner;
  readonly caller: RawCaller;
}

/** Longer than the time limit for headers together with the period of its check. */
const RESPONSE_MS = 1_500;
const LIMITS = {
  max_header_bytes: 8_192,
  max_body_bytes: 100_000,
  header_timeout_ms: 500,
  idle_timeout_ms: 5_000,
};
const ROUTE = { timeout_ms: 8_000, target_latency_ms: 6_000, kind: 'non_idempotent' };

async function start(t: ExecutionContext, responseMs = RESPONSE_MS): Promise<Setup> {
  const runner = await new ScriptedRunner((socket, request) => {
    setTimeout(() => {
      socket.write(responseTo(request, 'ok'));
    }, responseMs);
  }).listen();
  return setupFor(t, runner, ROUTE);
}

async function setupFor(
  t: ExecutionContext,
  runner: ScriptedRunner,
  route: object,
): Promise<Setup> {
  const harness = await GatewayHarness.start(t, { runners: [runner], route });
  await harness.configure({ limits: LIMITS });
  await harness.waitUntil(() =>
    harness.lines.some((line) => line.includes('"configuration-applied","version":2')),
  );
  const caller = new RawCaller(harness.gateway.ports.callers);
  t.teardown(() => caller.socket.destroy());
  return { harness, runner, caller };
}

function idsAt(runner: ScriptedRunner): readonly string[] {
  return runner.received.map(({ id }) => id);
}

// Guards against requests that were passed on and whose connection was closed after an earlier response.
test('requests that arrive on one connection are all answered by a node that stops', async (t) => {
  const { harness, runner, caller } = await start(t, 200);
  caller.send(['a', 'b', 'c'].map((id) => requestText({ id })).join(''));
  await harness.waitUntil(() => runner.received.length > 0);
  const stopped = harness.gateway.stop();
  await caller.closed;
  t.deepEqual(caller.responses, ['200 a', '200 b', '200 c']);
  await stopped;
});

// Guards against requests that were passed on and whose connection was closed with an earlier stream.
test('a request behind a stream that breaks off does not reach a runner', async (t) => {
  const runner = await new ScriptedRunner((socket, request) => {
    if (request.id === 'b') {
      socket.write(responseTo(request, 'ok'));
      return;
    }
    socket.write(streamHeadFor(request) + chunk(event(1)));
    setTimeout(() => socket.destroy(), 300);
  }).listen();
  const { caller } = await setupFor(t, runner, {
    ...ROUTE,
    kind: 'streaming',
    stream_resume: false,
    gap_target_ms: 300,
  });
  caller.send(requestText({ id: 'a' }) + requestText({ id: 'b' }));
  await caller.closed;
  await sleep(200);
  t.deepEqual(caller.responses, ['200 a']);
  t.deepEqual(idsAt(runner), ['a']);
});

// Guards against a refusal of later bytes in place of the response to a request that is at a runner.
for (const [name, bytes] of [
  ['bytes that are no request', '\0\0no request\r\n\r\n'],
  ['the begin of a request that does not go on', requestHead({ id: 'b' }).slice(0, 30)],
] as const) {
  test(`a request is answered although ${name} followed it`, async (t) => {
    const { runner, caller } = await start(t);
    caller.send(requestText({ id: 'a' }) + bytes);
    while (caller.responses.length === 0) await sleep(20);
    t.is(caller.responses[0], '200 a');
    t.deepEqual(idsAt(runner), ['a']);
  });
}

// Guards against a request that ran although its caller was told that it never will.
test('a request whose time for headers has passed does not run when its rest arrives', async (t) => {
  const { runner, caller } = await start(t, 100);
  const text = requestText({ id: 'a' });
  caller.socket.once('data', () => {
    caller.send(text.slice(30));
  });
  caller.send(text.slice(0, 30));
  await caller.closed;
  t.deepEqual(caller.responses, ['408']);
  t.deepEqual(idsAt(runner), []);
});

// Guards against the end of a kept connection without a refusal of the request that had begun to arrive.
test('a request whose time for headers has passed is refused on a kept connection', async (t) => {
  const { caller } = await start(t, 50);
  caller.send(requestText({ id: 'a' }));
  while (caller.responses.length === 0) await sleep(5);
  caller.send(requestHead({ id: 'b' }).slice(0, 30));
  await caller.closed;
  t.deepEqual(caller.responses, ['200 a', '408']);
});

// Guards against an end that no line of the log explains.
test('an end without an answer is logged with its request and its cause', async (t) => {
  const { harness, runner, caller } = await start(t);
  caller.send(requestText({ id: 'a' }));
  await harness.waitUntil(() => runner.received.length > 0);
  await harness.gateway.close();
  const find = (): string | undefined =>
    harness.lines.find((text) => text.includes('"response-cut"'));
  await Promise.race([caller.closed.then(() => sleep(1_000)), harness.waitUntil(() => !!find())]);
  const line = find();
  t.like(JSON.parse(line ?? '{}'), { request: 'a', cause: 'node-closed', wasRead: true });
});
