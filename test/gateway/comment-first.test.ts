import test from 'ava';
import { GatewayHarness } from './gateway-harness.ts';
import { RESUMABLE_ROUTE } from './resumable-route.ts';
import { chunk, event, streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

const WHOLE = event(1) + event(2);
/** What a runner may send before its first event; callers get no event for it. */
const PREAMBLES = {
  'a comment': ': ready\n\n',
  'a time to wait before reconnecting': 'retry: 100\n\n',
} as const;

for (const [name, preamble] of Object.entries(PREAMBLES)) {
  // Guards against a stream that is cut off before its first event although it could begin elsewhere (LOST).
  test(`a stream begins at another runner when its first one breaks off after ${name}`, async (t) => {
    let count = 0;
    const runners = await Promise.all(
      [0, 1].map(() =>
        new ScriptedRunner((socket, request) => {
          count += 1;
          if (count > 1) {
            socket.write(streamHeadFor(request) + chunk(WHOLE) + chunk(''));
            return;
          }
          socket.write(streamHeadFor(request) + chunk(preamble));
          setTimeout(() => socket.destroy(), 50);
        }).listen(),
      ),
    );
    const harness = await GatewayHarness.start(t, {
      runners,
      route: { kind: 'streaming', stream_resume: true },
    });
    const { body, isComplete } = await harness.call();
    t.is(count, 2);
    t.true(isComplete);
    t.is(body.replace(preamble, ''), WHOLE);
  });
}

const PING_PERIOD_MS = 200;
const PINGS = 15;

// Guards against taking a runner that sends comments while a request waits there for a silent one.
test('a request stays at a runner that sends comments before its first event', async (t) => {
  let count = 0;
  const runners = await Promise.all(
    [0, 1].map(() =>
      new ScriptedRunner((socket, request) => {
        count += 1;
        socket.write(streamHeadFor(request));
        let pings = 0;
        const timer = setInterval(() => {
          pings += 1;
          if (pings < PINGS) {
            socket.write(chunk(': waiting\n\n'));
            return;
          }
          clearInterval(timer);
          socket.write(chunk(WHOLE) + chunk(''));
        }, PING_PERIOD_MS);
        socket.once('close', () => {
          clearInterval(timer);
        });
      }).listen(),
    ),
  );
  const harness = await GatewayHarness.start(t, { runners, route: RESUMABLE_ROUTE });
  const { body, isComplete } = await harness.call();
  t.is(count, 1);
  t.true(isComplete);
  t.true(body.endsWith(WHOLE));
});
