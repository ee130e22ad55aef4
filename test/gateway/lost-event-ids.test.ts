import test from 'ava';
import { GatewayHarness } from './gateway-harness.ts';
import { RESUMABLE_ROUTE } from './resumable-route.ts';
import { chunk, streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

const RESUMABLE = { ...RESUMABLE_ROUTE, max_attempts: 2 } as const;
const SILENCE_MS = 1_800;
const PAUSE_MS = 100;

function eventOf(name: string): string {
  return `id: ${name}\u0001\ndata: piece\n\n`;
}

// Guards against an upkeep that fails for all requests because one stream has an odd event id (LOST).
test('a stream whose event id fits no header goes on at its silent runner', async (t) => {
  const silent = new ScriptedRunner((socket, request) => {
    socket.write(streamHeadFor(request) + chunk(eventOf('a')));
    setTimeout(() => socket.write(chunk(eventOf('b')) + chunk('')), SILENCE_MS);
  });
  const other = new ScriptedRunner((socket, request) => {
    socket.write(streamHeadFor(request) + chunk(eventOf('c')) + chunk(''));
  });
  const harness = await GatewayHarness.start(t, {
    runners: [await silent.listen()],
    route: RESUMABLE,
  });
  const reply = harness.call();
  await harness.waitUntil(() => silent.received.length === 1);
  await other.listen();
  t.teardown(() => other.close());
  await harness.registerRunner('r1', other.port);
  const { body, isComplete } = await reply;
  t.is(body, eventOf('a') + eventOf('b'));
  t.true(isComplete);
  t.false(harness.lines.some((line) => line.includes('"event":"task-failed"')));
});

// Guards against a failure of the node where a stream with an odd event id cannot go on.
test('a stream whose event id fits no header ends with its runner', async (t) => {
  const create = (): ScriptedRunner =>
    new ScriptedRunner((socket, request) => {
      socket.write(streamHeadFor(request) + chunk(eventOf('a')));
      setTimeout(() => socket.resetAndDestroy(), PAUSE_MS);
    });
  const runners = await Promise.all([0, 1].map(() => create().listen()));
  const harness = await GatewayHarness.start(t, { runners, route: RESUMABLE });
  t.false((await harness.call()).isComplete);
  t.false(harness.lines.some((line) => line.includes('"event":"request-failed"')));
  t.true(harness.lines.some((line) => line.includes('"cause":"runner-broken"')));
});
