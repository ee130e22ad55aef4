import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { GatewayHarness } from './gateway-harness.ts';
import { RESUMABLE_ROUTE } from './resumable-route.ts';
import { chunk, event, streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

const RESUMABLE = { ...RESUMABLE_ROUTE, max_attempts: 2 } as const;
/** Longer than the silence after which a stream is tried elsewhere, in milliseconds. */
const SILENCE_MS = 1_800;
const PAUSE_MS = 200;
/** What a runner may send after a silence that completes no event. */
const UNFINISHED = {
  'a comment': ': ready\n\n',
  'a part of an event': event(2).slice(0, 10),
} as const;

for (const [name, bytes] of Object.entries(UNFINISHED)) {
  // Guards against a stream that loses its other runner to one that has sent no event (LOST).
  test(`a stream goes on at another runner when its silent one sends only ${name}, and breaks off`, async (t) => {
    const silent = new ScriptedRunner((socket, request) => {
      socket.write(streamHeadFor(request) + chunk(event(1)));
      void (async () => {
        await sleep(SILENCE_MS);
        socket.write(chunk(bytes));
        await sleep(PAUSE_MS);
        socket.destroy();
      })();
    });
    const other = new ScriptedRunner((socket, request) => {
      void (async () => {
        await sleep(SILENCE_MS);
        socket.write(streamHeadFor(request) + chunk(event(2)) + chunk(event(3)) + chunk(''));
      })();
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
    t.is(other.received.length, 1);
    t.is(body.replace(UNFINISHED['a comment'], ''), event(1) + event(2) + event(3));
    t.true(isComplete);
  });
}
