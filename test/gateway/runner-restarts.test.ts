import test from 'ava';
import { GatewayHarness } from './gateway-harness.ts';
import { chunk, event, streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

const EVENTS = 200;
const EVENT_INTERVAL_MS = 20;
const CALLS = 15;

// Guards against connections that are opened anew for each request after a restart of a runner.
test('a runner that has restarted keeps its connection while a stream of its earlier life goes on', async (t) => {
  const earlier = new ScriptedRunner((socket, request) => {
    socket.write(streamHeadFor(request));
    let count = 0;
    const timer = setInterval(() => {
      count += 1;
      socket.write(chunk(event(count)));
      if (count < EVENTS) return;
      clearInterval(timer);
      socket.write(chunk(''));
    }, EVENT_INTERVAL_MS);
  });
  const sockets = new Set<unknown>();
  const later = new ScriptedRunner((socket, request) => {
    sockets.add(socket);
    socket.write(streamHeadFor(request) + chunk(event(1)) + chunk(''));
  });
  const harness = await GatewayHarness.start(t, {
    runners: [await earlier.listen()],
    route: { kind: 'streaming', stream_resume: true, gap_target_ms: 300, timeout_ms: 8_000 },
  });
  const stream = harness.call({ headers: { 'Deadline-Ms': '8000' } });
  await harness.waitUntil(() => earlier.received.length === 1);
  await later.listen();
  t.teardown(() => later.close());
  await harness.registerRunner('r0', later.port, { born: 2 });
  await harness.waitUntil(() => harness.lines.some((line) => line.includes('runner-entered')));
  for (let count = 0; count < CALLS; count += 1) await harness.call();
  t.is(sockets.size, 1);
  t.true((await stream).isComplete);
});

// Guards against a silent runner that passes for one that sends, because its earlier life still does.
test('a runner that has restarted is silent although a stream of its earlier life goes on', async (t) => {
  const earlier = new ScriptedRunner((socket, request) => {
    socket.write(streamHeadFor(request));
    let count = 0;
    const timer = setInterval(() => {
      count += 1;
      socket.write(chunk(event(count)));
      if (count < EVENTS) return;
      clearInterval(timer);
      socket.write(chunk(''));
    }, EVENT_INTERVAL_MS);
  });
  const later = await new ScriptedRunner(() => undefined).listen();
  const other = await new ScriptedRunner((socket, request) => {
    socket.write(streamHeadFor(request) + chunk(event(1)) + chunk(''));
  }).listen();
  t.teardown(() => Promise.all([later.close(), other.close()]));
  const harness = await GatewayHarness.start(t, {
    runners: [await earlier.listen()],
    route: { kind: 'streaming', stream_resume: true, gap_target_ms: 300, timeout_ms: 8_000 },
  });
  const lines = (event: string): readonly string[] =>
    harness.lines.filter((line) => line.includes(`"${event}"`));
  const stream = harness.call({ headers: { 'Deadline-Ms': '8000' } });
  await harness.waitUntil(() => earlier.received.length === 1);
  await harness.registerRunner('r0', later.port, { born: 2 });
  await harness.waitUntil(() => lines('runner-entered').length > 0);
  const call = harness.call({ headers: { 'Deadline-Ms': '8000' } });
  await harness.waitUntil(() => later.received.length === 1);
  await harness.registerRunner('r1', other.port);
  t.is((await call).body, event(1));
  t.like(JSON.parse(lines('attempt-added')[0] ?? '{}'), { runner: 'r0', silent: 'runner' });
  t.true((await stream).isComplete);
});
