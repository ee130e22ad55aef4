import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import { freePort } from './free-port.ts';
import { GatewayHarness } from './gateway-harness.ts';
import { limitConcurrency } from './limit-concurrency.ts';
import { headFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';
import { SteadyRunner } from './steady-runner.ts';

const LATENCY_MS = 60;
/** Longer than a timer of the runtime can wait; it fires at once instead. */
const BEYOND_TIMERS_MS = 1e12;
/** Silence after which a peer counts as lost, and some. */
const PEER_LOST_MS = 1_800;
const DIGITS = '9'.repeat(400);

const waitForTurn = limitConcurrency(5);

function linesOf(gateway: GatewayHarness, event: string): readonly string[] {
  return gateway.lines.filter((line) => line.includes(`"event":"${event}"`));
}

async function startRunner(
  t: ExecutionContext,
  headers: readonly string[],
): Promise<ScriptedRunner> {
  const runner = new ScriptedRunner((socket, request) => {
    setTimeout(() => {
      socket.write(`${headFor(request, { framing: ['Content-Length: 2', ...headers] })}ok`);
    }, 5);
  });
  await runner.listen();
  t.teardown(() => runner.close());
  return runner;
}

// Guards against: a time-out of the configuration, or a deadline of a caller, that a timer cannot wait for
// ended requests after a millisecond.
for (const [name, route, headers] of [
  ['the route’s time-out', { timeout_ms: BEYOND_TIMERS_MS }, { 'Deadline-Ms': '' }],
  ['both', { timeout_ms: BEYOND_TIMERS_MS }, { 'Deadline-Ms': '1e12' }],
  ['the deadline', {}, { 'Deadline-Ms': DIGITS }],
  ['neither, the deadline is 1e400', {}, { 'Deadline-Ms': '1e400' }],
  ['the targets', { target_latency_ms: 1e300, gap_target_ms: 1e300 }, {}],
] as const) {
  test(`requests are served although times are beyond what a timer can wait: ${name}`, async (t) => {
    await waitForTurn(t);
    const runner = await new SteadyRunner({ events: 0, latencyMs: LATENCY_MS }).listen();
    const limits = {
      max_header_bytes: 8_192,
      max_body_bytes: 100_000,
      header_timeout_ms: 2 ** 31 + 1_000,
      idle_timeout_ms: BEYOND_TIMERS_MS,
    };
    const log = new MemoryKeyedLog();
    const writer = GatewayHarness.writerFor(log, route);
    await writer.configure({ limits });
    await writer.registerRunner('r0', runner.port);
    t.teardown(() => runner.close());
    const gateway = await GatewayHarness.start(t, { log });
    for (let index = 0; index < 5; index += 1) {
      t.is((await gateway.call({ headers })).status, 200);
    }
    t.deepEqual(linesOf(gateway, 'request-timed-out'), []);
  });
}

// Guards against: numbers that a caller stated added up to one that is not finite, which made each report
// of the node unreadable, so that its peers counted it as lost.
for (const usage of ['1e308,1e308', `${DIGITS},${DIGITS}`, '-1e308,-1e308', 'NaN,1', '1e400,1']) {
  test(`a caller cannot make a node’s reports unreadable: ${usage.slice(0, 20)}`, async (t) => {
    await waitForTurn(t);
    const log = new MemoryKeyedLog();
    const runner = await new SteadyRunner({ events: 0, latencyMs: 5 }).listen();
    t.teardown(() => runner.close());
    await GatewayHarness.configure({ log }, [runner.port]);
    const first = await GatewayHarness.start(t, { log, node: 'n1', peerPort: await freePort() });
    const second = await GatewayHarness.start(t, { log, node: 'n2', peerPort: await freePort() });
    await second.waitUntil(() => linesOf(second, 'peer-heard').length > 0);
    const headers = { 'Token-Usage': usage, 'Prompt-Prefix': `ab12:${DIGITS},ab13:5` };
    for (let index = 0; index < 4; index += 1) {
      t.is((await first.call({ headers })).status, 200);
    }
    await sleep(PEER_LOST_MS);
    t.deepEqual(linesOf(second, 'peer-lost'), []);
    t.deepEqual(linesOf(second, 'record-rejected'), []);
  });
}

// Guards against: an idle time that a timer cannot wait for closed each connection after a millisecond.
test('a connection to a runner that states a very long idle time is used again', async (t) => {
  await waitForTurn(t);
  const runner = await startRunner(t, ['Keep-Alive: timeout=99999999999']);
  const log = new MemoryKeyedLog();
  await GatewayHarness.configure({ log }, [runner.port]);
  const gateway = await GatewayHarness.start(t, { log });
  for (let index = 0; index < 4; index += 1) {
    t.is((await gateway.call()).status, 200);
    await sleep(LATENCY_MS);
  }
  t.deepEqual(runner.closed, []);
});

// Guards against: an odd number in a header of one runner harmed requests to the others.
for (const header of [
  'Server-Load: -1e308,-1e308,-1',
  'Server-Load: 1e400,1,1',
  `Server-Load: ${DIGITS},${DIGITS},${DIGITS}`,
  'Server-Load: NaN,NaN,NaN',
  'Server-Load: ,,',
  'Server-Limit: 1e308',
  'Server-Limit: -1',
  'Server-Limit: 1e400',
  `Server-Limit: ${DIGITS}`,
  'Retry-After: 1e9',
  `Retry-After: ${DIGITS}`,
  'Retry-After: -1',
  `Keep-Alive: timeout=${DIGITS}`,
  'Keep-Alive: timeout=-5',
  'Weight-Versions: 1e400,,',
]) {
  test(`an odd header of one runner harms nobody: ${header.slice(0, 40)}`, async (t) => {
    await waitForTurn(t);
    const odd = await startRunner(t, [header]);
    const sound = await startRunner(t, []);
    const log = new MemoryKeyedLog();
    await GatewayHarness.configure({ log }, [odd.port, sound.port]);
    const first = await GatewayHarness.start(t, { log, node: 'n1', peerPort: await freePort() });
    const second = await GatewayHarness.start(t, { log, node: 'n2', peerPort: await freePort() });
    await second.waitUntil(() => linesOf(second, 'peer-heard').length > 0);
    for (let round = 0; round < 4; round += 1) {
      const replies = await Promise.all([0, 1, 2, 3, 4, 5].map(() => first.call()));
      t.deepEqual(
        replies.map(({ status }) => status),
        replies.map(() => 200),
      );
    }
    await sleep(PEER_LOST_MS);
    t.deepEqual(linesOf(second, 'peer-lost'), []);
    t.deepEqual(linesOf(second, 'record-rejected'), []);
    t.true(sound.received.length > 0);
  });
}

// Guards against: a runner that asked for rest for centuries made callers wait for as long.
test('a rest that a runner asks for is bounded', async (t) => {
  await waitForTurn(t);
  const runner = new ScriptedRunner((socket, request) => {
    const framing = ['Content-Length: 0', 'Not-Executed: 1', `Retry-After: ${DIGITS}`];
    socket.write(headFor(request, { status: '503 Busy', framing }));
  });
  await runner.listen();
  t.teardown(() => runner.close());
  const log = new MemoryKeyedLog();
  await GatewayHarness.configure({ log }, [runner.port]);
  const gateway = await GatewayHarness.start(t, { log });
  for (let index = 0; index < 3; index += 1) {
    const { status, headers } = await gateway.call();
    t.is(status, 503);
    const seconds = Number(headers['retry-after'] ?? 0);
    t.true(seconds >= 0 && seconds <= 86_400, String(headers['retry-after']));
  }
});

// Guards against: a status that is no final one of HTTP reached the caller as the end of its request (MIXED),
// or failed the node itself.
for (const status of ['000', '099', '101', '600', '999']) {
  test(`a response of a runner with status ${status} counts as broken`, async (t) => {
    await waitForTurn(t);
    const odd = new ScriptedRunner((socket, request) => {
      socket.write(headFor(request, { status, framing: ['Content-Length: 0'] }));
    });
    await odd.listen();
    t.teardown(() => odd.close());
    const log = new MemoryKeyedLog();
    await GatewayHarness.configure({ log }, [odd.port]);
    const gateway = await GatewayHarness.start(t, { log });
    t.is((await gateway.call()).status, 502);
    t.deepEqual(linesOf(gateway, 'request-failed'), []);
  });
}
