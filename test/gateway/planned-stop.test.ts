import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { CutFleet } from './cut-fleet.ts';
import { GatewayHarness } from './gateway-harness.ts';
import { ROUTE_KINDS } from './route-kinds.ts';
import { RawCaller, requestText } from './raw-caller.ts';
import { chunk, event, responseTo, streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

const GRACE_MS = 6_000;
const ARRIVAL_GAP_MS = GRACE_MS / 20;
/** Time that a runner takes for a request, in milliseconds. */
const WORK_MS = 3_200;
const ROUTE_TIMEOUT_MS = 4_000;
/** Requests that are served before the stop, so that the node knows how long they take. */
const SERVED_BEFORE = 24;
/** Time within which nodes hear each other and lose their links, in milliseconds. */
const HEARING_MS = 1_000;
const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

interface Arrival {
  readonly id: string;
  readonly caller: RawCaller;
}

function statusOf(text: string): number {
  return Number(/^HTTP\/1.1 (\d+)/.exec(text)?.[1] ?? 0);
}

function isComplete(text: string): boolean {
  const head = text.indexOf('\r\n\r\n');
  if (head < 0) return false;
  const body = text.slice(head + 4);
  if (/transfer-encoding: chunked/i.test(text)) return body.endsWith('0\r\n\r\n');
  return body.length === Number(/content-length: (\d+)/i.exec(text)?.[1]);
}

for (const [kind, route] of Object.entries(ROUTE_KINDS)) {
  // Guards against requests that a stopping node takes, passes on, and cuts at the end of its grace period (LOST).
  test(`pattern: planned stop in calm; a late request of the kind ${kind} is answered or refused as not run`, async (t) => {
    const seen: string[] = [];
    const runner = await new ScriptedRunner((socket, request) => {
      seen.push(request.id);
      if (kind === 'stream') socket.write(streamHeadFor(request) + chunk(event(1)));
      setTimeout(() => {
        socket.write(kind === 'stream' ? chunk(event(2)) + chunk('') : responseTo(request, 'done'));
      }, WORK_MS);
    }).listen();
    const harness = await GatewayHarness.start(t, {
      runners: [runner],
      graceMs: GRACE_MS,
      route: { ...route, timeout_ms: ROUTE_TIMEOUT_MS, gap_target_ms: ROUTE_TIMEOUT_MS },
    });
    await Promise.all(Array.from({ length: SERVED_BEFORE }, () => harness.call()));
    const { callers: port } = harness.gateway.ports;
    const stopped = harness.gateway.stop();
    const arrivals: Arrival[] = [];
    const endAt = Date.now() + GRACE_MS * 0.9;
    for (let index = 0; Date.now() < endAt; index += 1) {
      const caller = new RawCaller(port);
      caller.send(requestText({ id: `late-${index}` }));
      arrivals.push({ id: `late-${index}`, caller });
      await sleep(ARRIVAL_GAP_MS);
    }
    await harness.gateway.closed();
    await stopped;
    await Promise.all(arrivals.map(({ caller }) => caller.closed));
    let served = 0;
    for (const { id, caller } of arrivals) {
      const text = caller.received;
      if (text === '' && !seen.includes(id)) continue;
      t.true(isComplete(text), `${id}: ${text}`);
      if (statusOf(text) === HTTP_OK) served += 1;
      else {
        t.is(statusOf(text), HTTP_UNAVAILABLE, `${id}: ${text}`);
        t.false(seen.includes(id), id);
      }
    }
    t.true(served >= 4, String(served));
  });
}

// Guards against closing connections without an answer at the end of the grace period (LOST).
test('a request that takes longer than the grace period is answered before the node closes', async (t) => {
  const runner = await new ScriptedRunner(() => undefined).listen();
  const harness = await GatewayHarness.start(t, {
    runners: [runner],
    graceMs: GRACE_MS,
    route: { ...ROUTE_KINDS['once-only'], timeout_ms: 3 * GRACE_MS },
  });
  const caller = new RawCaller(harness.gateway.ports.callers);
  caller.send(requestText({ id: 'long' }));
  await sleep(ARRIVAL_GAP_MS);
  const stopped = harness.gateway.stop();
  await harness.gateway.closed();
  await stopped;
  await caller.closed;
  t.true(isComplete(caller.received), caller.received);
  t.is(statusOf(caller.received), 502);
});

// Guards against saying that a request has not run which a peer is running (REFUSED, TWICE).
test('a request that a peer runs when its node closes is not said to be not run', async (t) => {
  const seen: string[] = [];
  const runner = await new ScriptedRunner((_socket, { id }) => {
    seen.push(id);
  }).listen();
  t.teardown(() => runner.close());
  const route = { ...ROUTE_KINDS['once-only'], timeout_ms: 3 * GRACE_MS };
  const fleet = await CutFleet.start(t, { runners: [runner], gateways: 2, route });
  const [node] = fleet.gateways;
  if (!node) throw new TypeError('no gateway was started');
  await sleep(HEARING_MS);
  await fleet.setLinks([0], 'cut');
  await sleep(HEARING_MS);
  const call = node.call({ headers: { 'Deadline-Ms': String(3 * GRACE_MS) } });
  await node.waitUntil(() => seen.length > 0);
  const stopped = node.gateway.stop();
  const { status, isComplete } = await call;
  t.true(isComplete);
  t.is(status, 502);
  await stopped;
  await node.gateway.closed();
});

for (const kind of ['idempotent', 'stream'] as const) {
  // Guards against a connection that closes without an answer while a peer runs the request again (LOST).
  test(`${kind}: a request that went on at a peer is answered before its node closes`, async (t) => {
    const seen: string[] = [];
    const create = (): ScriptedRunner => new ScriptedRunner((_socket, { id }) => seen.push(id));
    const runners = await Promise.all([0, 1, 2].map(() => create().listen()));
    t.teardown(() => Promise.all(runners.map((runner) => runner.close())));
    const timeoutMs = 3 * GRACE_MS;
    const fleet = await CutFleet.start(t, {
      runners,
      gateways: 2,
      route: {
        ...ROUTE_KINDS[kind],
        timeout_ms: timeoutMs,
        target_latency_ms: timeoutMs,
        max_attempts: 3,
      },
    });
    const [node] = fleet.gateways;
    if (!node) throw new TypeError('no gateway was started');
    await sleep(HEARING_MS);
    const call = node.call({ headers: { 'Deadline-Ms': String(timeoutMs) } });
    await node.waitUntil(() => seen.length === 1);
    await fleet.setLinks([0], 'cut');
    await node.waitUntil(() => seen.length === 2);
    const stopped = node.gateway.stop();
    const { status, isComplete } = await call;
    t.true(isComplete);
    t.is(status, 502);
    await stopped;
    await node.gateway.closed();
  });
}
