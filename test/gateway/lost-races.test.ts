import test from 'ava';
import { GatewayHarness } from './gateway-harness.ts';
import { chunk, event, streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

const RESUMABLE = {
  kind: 'streaming',
  stream_resume: true,
  gap_target_ms: 300,
  timeout_ms: 8_000,
  max_attempts: 3,
} as const;
/** Longer than the silence after which a stream is tried elsewhere, and such as a sound runner keeps. */
const SILENCE_MS = 1_800;
const PAUSE_MS = 100;

// Guards against a stream whose silent runner is given up for one that has sent no event (LOST).
test('a stream goes on at its silent runner when the other one sends only a comment', async (t) => {
  const silent = new ScriptedRunner((socket, request) => {
    socket.write(streamHeadFor(request) + chunk(event(1)));
    setTimeout(() => socket.write(chunk(event(2)) + chunk('')), SILENCE_MS);
  });
  const other = new ScriptedRunner((socket, request) => {
    socket.write(streamHeadFor(request) + chunk(': ready\n\n'));
    setTimeout(() => socket.destroy(), PAUSE_MS);
  });
  const harness = await GatewayHarness.start(t, {
    runners: [await silent.listen()],
    route: { ...RESUMABLE, max_attempts: 2 },
  });
  const reply = harness.call();
  await harness.waitUntil(() => silent.received.length === 1);
  await other.listen();
  t.teardown(() => other.close());
  await harness.registerRunner('r1', other.port);
  const { body, isComplete } = await reply;
  t.is(other.received.length, 1);
  t.is(body, event(1) + event(2));
  t.true(isComplete);
});
