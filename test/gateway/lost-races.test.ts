import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { CutFleet } from './cut-fleet.ts';
import { GatewayHarness } from './gateway-harness.ts';
import { RESUMABLE_ROUTE } from './resumable-route.ts';
import { chunk, event, headFor, streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

/** Longer than the silence after which a stream is tried elsewhere, and such as a sound runner keeps. */
const SILENCE_MS = 1_800;
const PAUSE_MS = 100;
/** Time in which nodes hear each other. */
const MEETING_MS = 600;

/** What a runner may send before its first event; callers get no event for it. */
const PREAMBLES = {
  'a comment': ': ready\n\n',
  'a time to wait before reconnecting': 'retry: 100\n\n',
  'an event without data': 'event: ready\n\n',
} as const;

for (const [name, preamble] of Object.entries(PREAMBLES)) {
  // Guards against a stream whose silent runner is given up for one that has sent no event (LOST).
  test(`a stream goes on at its silent runner when the other one sends only ${name}`, async (t) => {
    const silent = new ScriptedRunner((socket, request) => {
      socket.write(streamHeadFor(request) + chunk(event(1)));
      setTimeout(() => socket.write(chunk(event(2)) + chunk('')), SILENCE_MS);
    });
    const other = new ScriptedRunner((socket, request) => {
      socket.write(streamHeadFor(request) + chunk(preamble));
      setTimeout(() => socket.destroy(), PAUSE_MS);
    });
    const harness = await GatewayHarness.start(t, {
      runners: [await silent.listen()],
      route: { ...RESUMABLE_ROUTE, max_attempts: 2 },
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
}

// Guards against a stream that is given up for a peer although open connections live on (LOST).
test('a stream goes on at its silent runner when a peer reaches only runners without room', async (t) => {
  const silent = new ScriptedRunner((socket, request) => {
    socket.write(streamHeadFor(request) + chunk(event(1)));
    setTimeout(() => socket.write(chunk(event(2)) + chunk('')), SILENCE_MS);
  });
  const full = new ScriptedRunner((socket, request) => {
    const framing = ['Not-Executed: full', 'Content-Length: 0'];
    socket.write(headFor(request, { status: '503 Service Unavailable', framing }));
  });
  const runners = [await silent.listen(), await full.listen()];
  t.teardown(() => Promise.all(runners.map((runner) => runner.close())));
  const fleet = await CutFleet.start(t, { runners, gateways: 2, route: RESUMABLE_ROUTE });
  await sleep(MEETING_MS);
  const [, cut] = fleet.gateways;
  if (!cut) throw new TypeError('no node was started');
  const reply = cut.call();
  await cut.waitUntil(() => silent.received.length > 0);
  await fleet.setLinks([1], 'refuse-new');
  const { body, isComplete } = await reply;
  t.is(body, event(1) + event(2));
  t.true(isComplete);
});
